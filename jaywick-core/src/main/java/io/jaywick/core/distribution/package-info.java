/**
 * Distribution of table versions and of the changes of the source. See docs/design.md, section 4.
 */
package io.jaywick.core.distribution;
