/**
 * HTTP proxy between callers and targets. See docs/design.md, section 5.
 */
package io.jaywick.node.proxy;
