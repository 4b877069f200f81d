package tinford.fleet.config;

import java.util.Collection;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The outcomes of the latest proposals by id, so that one that is sent again is not made twice. The
 * oldest are forgotten once there are too many or they are too long.
 */
final class ProposalMemory {
    /** A proposal's id, the SHA-256 of its content in hex, and its outcome. */
    record Remembered(String id, String digest, Outcome outcome) {
        /** About how many characters it takes. */
        private int characters() {
            int characters = id.length() + digest.length();
            if (outcome instanceof Outcome.Rejected rejected) {
                for (ValidationError error : rejected.rejection().errors()) {
                    characters += error.key().length() + error.expected().length();
                }
            }
            return characters;
        }
    }

    private final Map<String, Remembered> byId = new LinkedHashMap<>();
    private long characters;

    static String digest(Proposal proposal) {
        byte[] json = ConfigurationCodec.encode(proposal);
        return HexFormat.of().formatHex(ContentHash.sha256().digest(json));
    }

    /** Null where there is none, or no more. */
    Remembered get(String id) {
        return byId.get(id);
    }

    /** Takes one whose id is not remembered. */
    void add(Remembered proposal) {
        byId.put(proposal.id(), proposal);
        characters += proposal.characters();
        while (byId.size() > ConfigurationLimits.MAX_REMEMBERED_PROPOSALS
                || characters > ConfigurationLimits.MAX_REMEMBERED_CHARACTERS) {
            Remembered oldest = byId.values().iterator().next();
            byId.remove(oldest.id());
            characters -= oldest.characters();
        }
    }

    int size() {
        return byId.size();
    }

    /** All, the oldest first. */
    Collection<Remembered> all() {
        return byId.values();
    }
}
