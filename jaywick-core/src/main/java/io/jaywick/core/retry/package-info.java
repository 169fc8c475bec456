/**
 * Retries, deadlines and at-most-once execution. See docs/design.md, section 5.
 */
package io.jaywick.core.retry;
