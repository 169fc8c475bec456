/**
 * The servers known to a node and the roles that they hold. See docs/design.md, section 4.
 */
package io.jaywick.core.membership;
