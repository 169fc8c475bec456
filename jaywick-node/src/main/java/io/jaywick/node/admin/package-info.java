/** Read-only administration over HTTP. */
package io.jaywick.node.admin;
