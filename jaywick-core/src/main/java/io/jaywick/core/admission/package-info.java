/** Admission control for the local target of a node. See docs/design.md, section 5. */
package io.jaywick.core.admission;
