/**
 * The report of usage from the lines of the nodes.
 */
package io.jaywick.cli.report;
