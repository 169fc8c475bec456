package io.jaywick.core.record;

/** Takes one line of the usage record, without a line break. */
@FunctionalInterface
public interface UsageSink {

    void accept(String line);
}
