package tinford.fleet.config;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Set;

/** Encodes and decodes the whole state of a {@link RevisionHistory}, with a checksum. */
final class HistoryCodec {
    private static final int CONTENT_VERSION = 1;
    private static final Set<String> KEYS =
            JsonObjectReader.keys("version", "oldest", "updates", "proposals");
    private static final Set<String> CONFIGURATION_KEYS =
            JsonObjectReader.keys("revision", "services", "plans", "routes", "tenants");
    private static final Set<String> PROPOSAL_KEYS =
            JsonObjectReader.keys("id", "digest", "revision", "faults");

    private final String fleetId;

    HistoryCodec(String fleetId) {
        if (!RecordChecks.isName(fleetId)) {
            throw new IllegalArgumentException("fleet id: expected " + RecordChecks.EXPECTED_NAME);
        }
        this.fleetId = fleetId;
    }

    /** The state of a history. */
    record State(Configuration oldest, List<Update> updates, DecidedProposals proposals) {}

    byte[] encode(Configuration oldest, List<Update> updates, DecidedProposals proposals) {
        byte[] json =
                Json.write(
                        CONTENT_VERSION,
                        out -> {
                            out.writeObjectFieldStart("oldest");
                            ConfigurationJson.writeFields(out, oldest);
                            out.writeEndObject();
                            JsonArrays.write(
                                    out, "updates", updates, ConfigurationCodec::writeUpdate);
                            JsonArrays.write(
                                    out, "proposals", proposals.all(), HistoryCodec::writeProposal);
                        });
        long revision =
                updates.isEmpty() ? oldest.revision() : updates.get(updates.size() - 1).revision();
        return ChecksummedEnvelope.encode(
                ChecksummedEnvelope.Kind.HISTORY, fleetId, revision, json);
    }

    State decode(byte[] snapshot) throws InvalidConfigurationException {
        byte[] content =
                ChecksummedEnvelope.decode(ChecksummedEnvelope.Kind.HISTORY, fleetId, snapshot)
                        .content();
        JsonObjectReader json =
                Json.read(content, CONTENT_VERSION, ConfigurationLimits.MAX_SNAPSHOT_BYTES);
        json.allowOnly(KEYS);
        JsonObjectReader oldestJson = json.object("oldest");
        oldestJson.allowOnly(CONFIGURATION_KEYS);
        Configuration oldest = ConfigurationJson.read(oldestJson);
        List<Update> updates = JsonArrays.read(json, "updates", ConfigurationCodec::readUpdate);
        expectConsecutive(json, oldest.revision(), updates);
        DecidedProposals proposals = new DecidedProposals();
        for (JsonObjectReader each : json.objects("proposals")) {
            proposals.add(readProposal(each));
        }
        return new State(oldest, updates, proposals);
    }

    private static void expectConsecutive(JsonObjectReader json, long oldest, List<Update> updates)
            throws InvalidConfigurationException {
        long revision = oldest;
        for (Update update : updates) {
            if (update.fromRevision() != revision || update.revision() != revision + 1) {
                throw json.invalid(
                        "updates", "an update from revision " + revision + " to " + (revision + 1));
            }
            revision++;
        }
    }

    private static void writeProposal(JsonGenerator out, DecidedProposals.DecidedProposal proposal)
            throws IOException {
        out.writeStartObject();
        out.writeStringField("id", proposal.id());
        out.writeStringField("digest", proposal.digest());
        ConfigurationCodec.writeOutcome(out, proposal.outcome());
        out.writeEndObject();
    }

    private static DecidedProposals.DecidedProposal readProposal(JsonObjectReader json)
            throws InvalidConfigurationException {
        json.allowOnly(PROPOSAL_KEYS);
        return new DecidedProposals.DecidedProposal(
                json.text("id"), json.text("digest"), ConfigurationCodec.readOutcome(json));
    }
}
