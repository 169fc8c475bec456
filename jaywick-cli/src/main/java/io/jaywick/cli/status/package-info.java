/** The status command. */
package io.jaywick.cli.status;
