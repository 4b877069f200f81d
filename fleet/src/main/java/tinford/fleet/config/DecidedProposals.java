package tinford.fleet.config;

import java.util.Collection;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The latest proposals that were decided, with their outcomes, by id, so that a proposal that is
 * sent again does not take effect twice. The oldest are evicted when there are too many or they
 * take too much memory.
 */
final class DecidedProposals {
    /**
     * A proposal that was decided.
     *
     * @param digest SHA-256 of the encoded proposal, in hex
     */
    record DecidedProposal(String id, String digest, Outcome outcome) {
        /** The approximate size in characters. */
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

    private final Map<String, DecidedProposal> byId = new LinkedHashMap<>();
    private long characters;

    /** The SHA-256 of the encoded proposal, in hex. */
    static String digest(Proposal proposal) {
        byte[] json = ConfigurationCodec.encode(proposal);
        return HexFormat.of().formatHex(ContentHash.sha256().digest(json));
    }

    /** The proposal with this id, unless it was evicted. */
    Optional<DecidedProposal> get(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Adds a proposal; its id must not be present. */
    void add(DecidedProposal proposal) {
        byId.put(proposal.id(), proposal);
        characters += proposal.characters();
        while (byId.size() > ConfigurationLimits.MAX_RETAINED_PROPOSALS
                || characters > ConfigurationLimits.MAX_RETAINED_PROPOSAL_CHARACTERS) {
            DecidedProposal oldest = byId.values().iterator().next();
            byId.remove(oldest.id());
            characters -= oldest.characters();
        }
    }

    int size() {
        return byId.size();
    }

    /** All retained proposals, the oldest first. */
    Collection<DecidedProposal> all() {
        return byId.values();
    }
}
