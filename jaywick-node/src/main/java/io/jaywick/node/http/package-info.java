/** HTTP/1.1 on kept client connections. */
package io.jaywick.node.http;
