package tinford.fleet.config;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Reads and writes arrays of JSON objects. */
final class JsonArrays {
    private JsonArrays() {}

    /** Writes one value as an object. */
    interface ElementWriter<T> {
        void write(JsonGenerator out, T value) throws IOException;
    }

    /** Reads one value from an object. */
    interface ElementReader<T> {
        T read(JsonObjectReader json) throws InvalidConfigurationException;
    }

    static <T> void write(
            JsonGenerator out, String key, Collection<T> values, ElementWriter<T> writer)
            throws IOException {
        out.writeArrayFieldStart(key);
        for (T value : values) {
            writer.write(out, value);
        }
        out.writeEndArray();
    }

    static <T> List<T> read(JsonObjectReader json, String key, ElementReader<T> reader)
            throws InvalidConfigurationException {
        List<T> values = new ArrayList<>();
        for (JsonObjectReader element : json.objects(key)) {
            values.add(reader.read(element));
        }
        return values;
    }
}
