/**
 * Admission of calls at the node beside a target. See docs/design.md, section 5.
 */
package io.jaywick.core.admission;
