/** Learns the speed of the local target from the calls that it runs. See docs/design/learned-capacity.md. */
package io.jaywick.core.capacity;
