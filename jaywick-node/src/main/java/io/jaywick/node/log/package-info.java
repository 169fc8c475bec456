/** Log lines as JSON. */
package io.jaywick.node.log;
