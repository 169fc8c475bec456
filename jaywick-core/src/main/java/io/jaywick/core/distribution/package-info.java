/**
 * How a node takes up versions of the table. See docs/design.md, section 4.
 */
package io.jaywick.core.distribution;
