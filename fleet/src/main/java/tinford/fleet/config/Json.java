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

/** Reads and writes one JSON object with a version, within bounds. */
final class Json {
    private static final String VERSION_KEY = "version";
    private static final int KEY_LENGTH = 64;
    private static final int NUMBER_LENGTH = 64;

    /** For all but watch messages, whose snapshots are one long text. */
    private static final JsonMapper SHORT_TEXTS = mapper(ConfigurationLimits.TEXT_LENGTH);

    private static final JsonMapper LONG_TEXTS = mapper(ConfigurationLimits.LINE_BYTES);

    private Json() {}

    /** Writes the fields of an object. */
    interface Body {
        void write(JsonGenerator out) throws IOException;
    }

    /** An object with the version and these fields, on one line without a line end. */
    static byte[] write(int version, Body body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = SHORT_TEXTS.createGenerator(bytes, JsonEncoding.UTF8)) {
            out.writeStartObject();
            out.writeNumberField(VERSION_KEY, version);
            body.write(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        return bytes.toByteArray();
    }

    static JsonObject read(byte[] json, int version, int limit)
            throws InvalidConfigurationException {
        return read(SHORT_TEXTS, json, version, limit);
    }

    static JsonObject readWithLongTexts(byte[] json, int version, int limit)
            throws InvalidConfigurationException {
        return read(LONG_TEXTS, json, version, limit);
    }

    private static JsonObject read(JsonMapper mapper, byte[] json, int version, int limit)
            throws InvalidConfigurationException {
        if (json.length > limit) {
            throw new InvalidConfigurationException(
                    "json", "at most " + limit + " bytes, not " + json.length);
        }
        JsonObject object = JsonObject.root(tree(mapper, json));
        long found = object.whole(VERSION_KEY);
        if (found < 1 || found > version) {
            throw new InvalidConfigurationException(
                    VERSION_KEY, "a version from 1 to " + version + ", not " + found);
        }
        return object;
    }

    private static JsonNode tree(JsonMapper mapper, byte[] json)
            throws InvalidConfigurationException {
        try {
            return mapper.readTree(json);
        } catch (JsonProcessingException e) {
            throw new InvalidConfigurationException(
                    "json", "JSON" + place(e) + ": " + reason(e), e);
        } catch (IOException e) {
            throw new InvalidConfigurationException("json", "JSON: " + e.getMessage(), e);
        }
    }

    private static String place(JsonProcessingException e) {
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

    private static JsonMapper mapper(int longestText) {
        StreamReadConstraints constraints =
                StreamReadConstraints.builder()
                        .maxNestingDepth(ConfigurationLimits.NESTING)
                        .maxStringLength(longestText)
                        .maxNameLength(KEY_LENGTH)
                        .maxNumberLength(NUMBER_LENGTH)
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
