package io.jaywick.node.settings;

import java.util.List;

import io.jaywick.core.settings.SettingDefinition;

/** Types of settings: parsing of their text and descriptions of the allowed values. */
final class SettingTypes {

    private static final int MAX_NAME_CHARACTERS = 128;

    private SettingTypes() {}

    /** Returns the value of a setting that is written as text, or null if the text is not allowed. */
    static Object parse(SettingDefinition definition, String text) {
        return switch (definition.type()) {
            case "address" -> SocketAddressParser.parse(text) == null ? null : text;
            case "addresses" -> parseAddresses(text);
            default -> isName(text) ? text : null;
        };
    }

    /** Describes the allowed values for error messages. */
    static String describeAllowed(SettingDefinition definition) {
        return switch (definition.type()) {
            case "address" -> "a string IP:PORT with an IPv4 address or an IPv6 address in brackets and a port from 0 to"
                    + " 65535";
            case "addresses" -> "a string of addresses IP:PORT separated by spaces";
            case "int", "long" -> "a whole number from " + definition.min() + " to " + definition.max();
            default -> "a string of 1 to " + MAX_NAME_CHARACTERS + " printable characters without spaces";
        };
    }

    private static List<String> parseAddresses(String text) {
        List<String> addresses =
                text.isBlank() ? List.of() : List.of(text.strip().split(" +"));
        for (String address : addresses) {
            if (SocketAddressParser.parse(address) == null) {
                return null;
            }
        }
        return addresses;
    }

    private static boolean isName(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_NAME_CHARACTERS
                && text.chars().noneMatch(c -> Character.isISOControl(c) || Character.isWhitespace(c));
    }
}
