/** Selection of the service and the target of a call. See docs/design.md, section 5. */
package io.jaywick.core.routing;
