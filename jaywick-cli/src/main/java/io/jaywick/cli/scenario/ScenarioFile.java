package io.jaywick.cli.scenario;

import java.io.IOException;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/** Reads scenario files. */
public final class ScenarioFile {

    private static final ObjectMapper TOML = TomlMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private ScenarioFile() {}

    /**
     * Reads a file and checks that all required keys are present. Unknown keys are rejected.
     *
     * @throws ScenarioException when the content is not a valid scenario
     * @throws IOException when the file cannot be read
     */
    public static Scenario read(Path file) throws IOException {
        Scenario scenario;
        try {
            scenario = TOML.readValue(file.toFile(), Scenario.class);
        } catch (JsonProcessingException e) {
            throw new ScenarioException(file + ": " + e.getOriginalMessage()
                    + (e.getLocation() == null
                            ? ""
                            : " in line " + e.getLocation().getLineNr()));
        }
        require(file, scenario.subsystem(), "subsystem");
        require(file, scenario.durationMillis(), "durationMillis");
        require(file, scenario.fleet(), "fleet");
        require(file, scenario.events(), "events");
        require(file, scenario.expectations(), "expectations");
        for (Scenario.Event event : scenario.events()) {
            require(file, event.action(), "action of an event");
            require(file, event.atMillis(), "atMillis of '" + event.action() + "'");
            if (event.times() != null) {
                require(file, event.everyMillis(), "everyMillis of '" + event.action() + "'");
            }
        }
        for (Scenario.Expectation expectation : scenario.expectations()) {
            require(file, expectation.promise(), "promise of an expectation");
        }
        return scenario;
    }

    private static void require(Path file, Object value, String key) {
        if (value == null) {
            throw new ScenarioException(file + ": " + key + " is missing");
        }
    }
}
