package tinford.fleet.config;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Set;

/**
 * Encodes and decodes proposals, outcomes, watch messages and reports as JSON objects with a field
 * {@code version}. The format is used on the wire and in the replicated log. Decoders throw {@link
 * InvalidConfigurationException} for invalid JSON, unknown fields, a later version, and data that
 * exceeds {@link ConfigurationLimits}.
 */
public final class ConfigurationCodec {
    /** The version of the JSON format. */
    public static final int VERSION = 1;

    private static final Set<String> CHANGE_SET_KEYS =
            JsonObjectReader.keys("version", "id", "expectedRevision", "changes");
    private static final Set<String> REVERT_KEYS =
            JsonObjectReader.keys("version", "id", "revertTo");
    private static final Set<String> ACCEPTED_KEYS = JsonObjectReader.keys("version", "revision");
    private static final Set<String> REJECTED_KEYS = JsonObjectReader.keys("version", "faults");
    private static final Set<String> UPDATE_MESSAGE_KEYS =
            JsonObjectReader.keys("version", "update");
    private static final Set<String> SNAPSHOT_MESSAGE_KEYS =
            JsonObjectReader.keys("version", "snapshot");
    private static final Set<String> UPDATE_KEYS =
            JsonObjectReader.keys("from", "revision", "changes");
    private static final Set<String> SNAPSHOT_KEYS = JsonObjectReader.keys("revision", "data");
    private static final Set<String> REPORT_KEYS =
            JsonObjectReader.keys("version", "follower", "region", "revision", "refusal");

    private ConfigurationCodec() {}

    /** Encodes a proposal, for an entry of the replicated log and the body of a request. */
    public static byte[] encode(Proposal proposal) {
        return Json.write(VERSION, out -> writeProposal(out, proposal));
    }

    /** Decodes a proposal; its changes are not validated. */
    public static Proposal decodeProposal(byte[] json) throws InvalidConfigurationException {
        JsonObjectReader object = Json.read(json, VERSION, ConfigurationLimits.MAX_PROPOSAL_BYTES);
        if (object.has("revertTo")) {
            object.allowOnly(REVERT_KEYS);
            return new Revert(object.text("id"), object.nonNegativeLong("revertTo"));
        }
        object.allowOnly(CHANGE_SET_KEYS);
        return new ChangeSet(
                object.text("id"),
                object.has("expectedRevision")
                        ? (Long) object.nonNegativeLong("expectedRevision")
                        : null,
                JsonArrays.read(object, "changes", ChangeJson::read));
    }

    /** Encodes an outcome, for the body of a response. */
    public static byte[] encode(Outcome outcome) {
        return Json.write(VERSION, out -> writeOutcome(out, outcome));
    }

    /** Decodes an outcome. */
    public static Outcome decodeOutcome(byte[] json) throws InvalidConfigurationException {
        JsonObjectReader object = Json.read(json, VERSION, ConfigurationLimits.MAX_OUTCOME_BYTES);
        if (object.has("revision")) {
            object.allowOnly(ACCEPTED_KEYS);
        } else {
            object.allowOnly(REJECTED_KEYS);
        }
        return readOutcome(object);
    }

    /** Encodes a watch message as one line, without the line feed. */
    public static byte[] encode(WatchMessage message) {
        return Json.write(VERSION, out -> writeWatchMessage(out, message));
    }

    /** Decodes a line without its line feed; the changes are not validated. */
    public static WatchMessage decodeWatchMessage(byte[] json)
            throws InvalidConfigurationException {
        JsonObjectReader object =
                Json.readWithLongTexts(json, VERSION, ConfigurationLimits.MAX_LINE_BYTES);
        if (object.has("snapshot")) {
            object.allowOnly(SNAPSHOT_MESSAGE_KEYS);
            return readSnapshotMessage(object.object("snapshot"));
        }
        object.allowOnly(UPDATE_MESSAGE_KEYS);
        return new WatchMessage.UpdateMessage(readUpdate(object.object("update")));
    }

    /** Encodes a report, for the body of a request. */
    public static byte[] encode(FollowerReport report) {
        return Json.write(VERSION, out -> writeReport(out, report));
    }

    /** Decodes a report. */
    public static FollowerReport decodeReport(byte[] json) throws InvalidConfigurationException {
        JsonObjectReader object = Json.read(json, VERSION, ConfigurationLimits.MAX_REPORT_BYTES);
        object.allowOnly(REPORT_KEYS);
        return new FollowerReport(
                readName(object, "follower"),
                readName(object, "region"),
                object.nonNegativeLong("revision"),
                object.has("refusal") ? object.text("refusal") : null);
    }

    static void writeUpdate(JsonGenerator out, Update update) throws IOException {
        out.writeStartObject();
        out.writeNumberField("from", update.fromRevision());
        out.writeNumberField("revision", update.revision());
        JsonArrays.write(out, "changes", update.changes(), ChangeJson::write);
        out.writeEndObject();
    }

    static Update readUpdate(JsonObjectReader json) throws InvalidConfigurationException {
        json.allowOnly(UPDATE_KEYS);
        long from = json.nonNegativeLong("from");
        long revision = json.nonNegativeLong("revision");
        if (revision <= from) {
            throw json.invalid("revision", "a revision above from, " + from);
        }
        return new Update(from, revision, JsonArrays.read(json, "changes", ChangeJson::read));
    }

    static void writeOutcome(JsonGenerator out, Outcome outcome) throws IOException {
        if (outcome instanceof Outcome.Accepted accepted) {
            out.writeNumberField("revision", accepted.revision());
        } else if (outcome instanceof Outcome.Rejected rejected) {
            JsonArrays.write(out, "faults", rejected.rejection().errors(), RecordJson::writeError);
        }
    }

    static Outcome readOutcome(JsonObjectReader json) throws InvalidConfigurationException {
        if (json.has("revision")) {
            return new Outcome.Accepted(json.nonNegativeLong("revision"));
        }
        List<ValidationError> errors = JsonArrays.read(json, "faults", RecordJson::readError);
        if (errors.isEmpty()) {
            throw json.invalid("faults", "at least one");
        }
        return new Outcome.Rejected(new Rejection(errors));
    }

    private static void writeProposal(JsonGenerator out, Proposal proposal) throws IOException {
        out.writeStringField("id", proposal.id());
        if (proposal instanceof Revert revert) {
            out.writeNumberField("revertTo", revert.toRevision());
        } else if (proposal instanceof ChangeSet set) {
            if (set.expectedRevision() != null) {
                out.writeNumberField("expectedRevision", set.expectedRevision());
            }
            JsonArrays.write(out, "changes", set.changes(), ChangeJson::write);
        }
    }

    private static void writeWatchMessage(JsonGenerator out, WatchMessage message)
            throws IOException {
        if (message instanceof WatchMessage.UpdateMessage update) {
            out.writeFieldName("update");
            writeUpdate(out, update.update());
        } else if (message instanceof WatchMessage.SnapshotMessage snapshot) {
            out.writeObjectFieldStart("snapshot");
            out.writeNumberField("revision", snapshot.revision());
            out.writeStringField("data", Base64.getEncoder().encodeToString(snapshot.data()));
            out.writeEndObject();
        }
    }

    private static WatchMessage readSnapshotMessage(JsonObjectReader json)
            throws InvalidConfigurationException {
        json.allowOnly(SNAPSHOT_KEYS);
        try {
            return new WatchMessage.SnapshotMessage(
                    json.nonNegativeLong("revision"),
                    Base64.getDecoder().decode(json.text("data")));
        } catch (IllegalArgumentException e) {
            throw json.invalid("data", "Base64");
        }
    }

    private static void writeReport(JsonGenerator out, FollowerReport report) throws IOException {
        out.writeStringField("follower", report.follower());
        out.writeStringField("region", report.region());
        out.writeNumberField("revision", report.revision());
        if (report.rejectionReason() != null) {
            out.writeStringField("refusal", ValidationError.oneLine(report.rejectionReason()));
        }
    }

    private static String readName(JsonObjectReader json, String key)
            throws InvalidConfigurationException {
        String name = json.text(key);
        if (!RecordChecks.isName(name)) {
            throw json.invalid(key, RecordChecks.EXPECTED_NAME);
        }
        return name;
    }
}
