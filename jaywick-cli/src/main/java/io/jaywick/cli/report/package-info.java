/**
 * Reports usage from the usage record of the nodes.
 */
package io.jaywick.cli.report;
