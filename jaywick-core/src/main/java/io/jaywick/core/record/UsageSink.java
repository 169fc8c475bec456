package io.jaywick.core.record;

/** Receives the lines of the usage record. */
@FunctionalInterface
public interface UsageSink {

    /** @param line one line without a line break */
    void accept(String line);
}
