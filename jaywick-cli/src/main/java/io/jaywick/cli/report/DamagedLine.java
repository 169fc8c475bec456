package io.jaywick.cli.report;

/**
 * A line that was left out.
 *
 * @param line number in the file, from 1
 * @param reason why it was left out
 */
public record DamagedLine(String file, long line, String reason) {}
