package tinford.fleet.config;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes versioned JSON objects; when reading, depth and lengths are bounded. */
final class Json {
    private static final String VERSION_KEY = "version";
    private static final int MAX_KEY_LENGTH = 64;
    private static final int MAX_NUMBER_LENGTH = 64;

    /** For everything except watch messages, which contain a snapshot as one long string. */
    private static final JsonMapper SHORT_TEXT_MAPPER = mapper(ConfigurationLimits.MAX_TEXT_LENGTH);

    private static final JsonMapper LONG_TEXT_MAPPER = mapper(ConfigurationLimits.MAX_LINE_BYTES);

    private Json() {}

    /** Writes the fields of an object. */
    interface Body {
        void write(JsonGenerator out) throws IOException;
    }

    /**
     * Writes an object with the version and the fields of a body, on one line without line feed.
     */
    static byte[] write(int latestVersion, Body body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = SHORT_TEXT_MAPPER.createGenerator(bytes, JsonEncoding.UTF8)) {
            out.writeStartObject();
            out.writeNumberField(VERSION_KEY, latestVersion);
            body.write(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("JSON could not be written to memory", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads one object.
     *
     * @param latestVersion the latest supported version
     * @param maxBytes the largest size of the JSON
     */
    static JsonObjectReader read(byte[] json, int latestVersion, int maxBytes)
            throws InvalidConfigurationException {
        return read(SHORT_TEXT_MAPPER, json, latestVersion, maxBytes);
    }

    /** Reads one object whose strings may be as long as a line of a watch. */
    static JsonObjectReader readWithLongTexts(byte[] json, int latestVersion, int maxBytes)
            throws InvalidConfigurationException {
        return read(LONG_TEXT_MAPPER, json, latestVersion, maxBytes);
    }

    private static JsonObjectReader read(
            JsonMapper mapper, byte[] json, int latestVersion, int maxBytes)
            throws InvalidConfigurationException {
        if (json.length > maxBytes) {
            throw new InvalidConfigurationException(
                    "json", "at most " + maxBytes + " bytes, not " + json.length);
        }
        JsonObjectReader object = JsonObjectReader.root(tree(mapper, json));
        long found = object.integer(VERSION_KEY);
        if (found < 1 || found > latestVersion) {
            throw new InvalidConfigurationException(
                    VERSION_KEY, "a version from 1 to " + latestVersion + ", not " + found);
        }
        return object;
    }

    private static JsonNode tree(JsonMapper mapper, byte[] json)
            throws InvalidConfigurationException {
        try {
            return mapper.readTree(json);
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException(
                    "json", "JSON" + location(e) + ": " + reason(e), e);
        } catch (IOException e) {
            throw new InvalidConfigurationException("json", "JSON: " + e.getMessage(), e);
        }
    }

    private static String location(JsonProcessingException e) {
        return e.getLocation() == null
                ? ""
                : " at line "
                        + e.getLocation().getLineNr()
                        + ", column "
                        + e.getLocation().getColumnNr();
    }

    private static String reason(JsonProcessingException e) {
        return e.getOriginalMessage().lines().findFirst().orElse("");
    }

    private static JsonMapper mapper(int maxTextLength) {
        StreamReadConstraints constraints =
                StreamReadConstraints.builder()
                        .maxNestingDepth(ConfigurationLimits.MAX_NESTING_DEPTH)
                        .maxStringLength(maxTextLength)
                        .maxNameLength(MAX_KEY_LENGTH)
                        .maxNumberLength(MAX_NUMBER_LENGTH)
                        .build();
        JsonFactory factory =
                JsonFactory.builder()
                        .streamReadConstraints(constraints)
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .build();
        return JsonMapper.builder(factory)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .build();
    }
}
