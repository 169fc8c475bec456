/**
 * Which servers a node knows and which of them hold which role. See docs/design.md, section 4.
 */
package io.jaywick.core.membership;
