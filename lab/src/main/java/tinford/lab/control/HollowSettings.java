package tinford.lab.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import tinford.fleet.config.Endpoint;

/**
 * What a process of hollow followers is started with, as a JSON file.
 *
 * @param history the file that it writes; {@code folder} for the followers' snapshots
 */
record HollowSettings(String history, String folder, long seed, List<Spec> followers) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** One follower. */
    record Spec(String id, String region, List<Endpoint> endpoints) {}

    static HollowSettings read(Path file) throws IOException {
        return JSON.readValue(file.toFile(), HollowSettings.class);
    }

    void write(Path file) throws IOException {
        JSON.writeValue(file.toFile(), this);
    }
}
