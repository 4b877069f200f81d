package tinford.lab.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import tinford.lab.fleet.History;

/** Lines of histories made by hand. */
final class Lines {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Lines() {}

    /**
     * @param fields names and values in turn
     */
    static History.Line at(double ms, String kind, Object... fields) {
        ObjectNode all = JSON.createObjectNode().put("at", ms).put("kind", kind);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            all.set((String) fields[i], JSON.valueToTree(fields[i + 1]));
        }
        return new History.Line(ms, ms, -1, 0, kind, all);
    }

    static History.Line started(double ms, String follower, String region, String disk) {
        return at(
                ms,
                Events.STARTED,
                Events.FOLLOWER,
                follower,
                Events.REGION,
                region,
                Events.DISK,
                disk);
    }

    static History.Line stopped(double ms, String follower) {
        return at(ms, Events.STOPPED, Events.FOLLOWER, follower);
    }

    static History.Line entered(double ms, String id) {
        return at(ms, Events.ENTERED, Events.ID, id);
    }

    static History.Line accepted(double ms, String id, long revision) {
        return at(ms, Events.ACCEPTED, Events.ID, id, Events.REVISION, revision);
    }

    static History.Line applied(double ms, String follower, long revision) {
        return applied(ms, follower, revision, "content of " + revision);
    }

    static History.Line applied(double ms, String follower, long revision, String hash) {
        return at(
                ms,
                Events.APPLIED,
                Events.FOLLOWER,
                follower,
                Events.REVISION,
                revision,
                Events.HASH,
                hash);
    }

    static History.Line notApplied(double ms, String follower, long revision) {
        return at(ms, Events.NOT_APPLIED, Events.FOLLOWER, follower, Events.REVISION, revision);
    }

    static History.Line reference(double ms, long revision, String hash) {
        return at(ms, Events.REFERENCE, Events.REVISION, revision, Events.HASH, hash);
    }

    static History.Line serverHolds(double ms, String server, long revision) {
        return at(ms, Events.SERVER_HOLDS, Events.SERVER, server, Events.REVISION, revision);
    }

    static History.Line settled(double ms) {
        return at(ms, Events.SETTLED);
    }

    static List<History.Line> of(History.Line... lines) {
        return Stream.of(lines).sorted(Comparator.comparingDouble(History.Line::at)).toList();
    }
}
