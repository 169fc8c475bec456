/** Collects the log lines of one request from the logs of the nodes. */
package io.jaywick.cli.explain;
