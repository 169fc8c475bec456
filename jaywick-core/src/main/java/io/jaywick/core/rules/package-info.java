/**
 * The operator's rules in force: routes by host and path prefix, services and limits on callers. All types are
 * immutable, so that a version is applied whole by one reference write.
 */
package io.jaywick.core.rules;
