/**
 * The operator's active rules: routes by host and path prefix, services, client accounts, and limits on callers. All
 * types are immutable, so that a version is activated atomically by one reference write.
 */
package io.jaywick.core.rules;
