/** The {@code jaywick} command line: selection of the command, parsing of its options and exit status. */
package io.jaywick.cli;
