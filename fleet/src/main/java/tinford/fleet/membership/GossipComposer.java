package tinford.fleet.membership;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Comparator;
import java.util.function.ToDoubleFunction;

/**
 * Composes the gossip messages of a round. A message holds the sender's own record, then records of
 * other gateways (alternately the freshest one and the one not forwarded for the longest time),
 * then heartbeats. Among the records and heartbeats, those forwarded least often come first.
 */
final class GossipComposer {
    /** Most heartbeats in a message; they take at most half of it. */
    private static final int MAX_HEARTBEATS = 16;

    /** Most records of other gateways in a message. */
    private static final int MAX_RECORDS = 5;

    /** An incarnation counts as new until its records were forwarded this many times. */
    private static final int NEW_INCARNATION_FORWARDS = 8;

    /**
     * Records of this many peers fit into every message, so that a fleet with no more peers needs
     * no heartbeats.
     */
    private static final int PEERS_WITHOUT_HEARTBEATS = 4;

    private static final Comparator<Peer> FRESHEST_FIRST =
            Comparator.comparingInt(Peer::recordForwards)
                    .thenComparing(Comparator.comparingDouble(Peer::createdMs).reversed());

    /** New incarnations first, then by the last time forwarded, so that every peer gets a turn. */
    private static final Comparator<Peer> OLDEST_FORWARD_FIRST =
            Comparator.comparingInt(
                            (Peer peer) ->
                                    Math.min(NEW_INCARNATION_FORWARDS, peer.incarnationForwards()))
                    .thenComparingDouble(Peer::lastForwardMs);

    private static final Comparator<Peer> LATEST_ALIVE_FIRST =
            Comparator.comparingInt(Peer::heartbeatForwards)
                    .thenComparing(Comparator.comparingDouble(Peer::lastAliveMs).reversed());

    private final Peer[] peers;
    private final int fanout;
    private final double maxAgeMs;

    /** Candidates for this round's messages, the best first; padded with null. */
    private final Peer[] freshest;

    private final Peer[] leastRecentlyForwarded;
    private final Peer[] heartbeats;
    private long messageCount;

    /**
     * @param peers the peers by number; null where none is known
     * @param fanout number of messages per round
     * @param maxAgeMs the highest age of records and heartbeats that are forwarded
     */
    GossipComposer(Peer[] peers, int fanout, double maxAgeMs) {
        this.peers = peers;
        this.fanout = fanout;
        this.maxAgeMs = maxAgeMs;
        this.freshest = new Peer[fanout * MAX_RECORDS];
        this.leastRecentlyForwarded = new Peer[fanout * MAX_RECORDS];
        this.heartbeats = new Peer[fanout * MAX_HEARTBEATS];
    }

    /** Selects the candidates; to be called before the messages of a round are composed. */
    void startRound(double nowMs) {
        selectCandidates(freshest, FRESHEST_FIRST, Peer::createdMs, nowMs);
        selectCandidates(leastRecentlyForwarded, OLDEST_FORWARD_FIRST, Peer::createdMs, nowMs);
        selectCandidates(heartbeats, LATEST_ALIVE_FIRST, Peer::lastAliveMs, nowMs);
    }

    /** Fills the array with the best peers that are not too old, by insertion sort. */
    private void selectCandidates(
            Peer[] candidates,
            Comparator<Peer> order,
            ToDoubleFunction<Peer> timestampMs,
            double nowMs) {
        Arrays.fill(candidates, null);
        int count = 0;
        for (Peer peer : peers) {
            if (peer == null
                    || nowMs - timestampMs.applyAsDouble(peer) > maxAgeMs
                    || count == candidates.length
                            && order.compare(peer, candidates[count - 1]) >= 0) {
                continue;
            }
            int index = count < candidates.length ? count++ : count - 1;
            while (index > 0 && order.compare(peer, candidates[index - 1]) < 0) {
                candidates[index] = candidates[index - 1];
                index--;
            }
            candidates[index] = peer;
        }
    }

    /**
     * Composes one message of the round.
     *
     * @param ownRecord the encoded record of this gateway
     * @param target the gateway that the message is for; what is known about it is left out
     * @param index index of the message in the round, below the fanout
     * @param alivePeers number of peers that are alive
     * @return the message; null if there is no room for the own record
     */
    byte[] compose(
            byte[] ownRecord,
            double ownAgeMs,
            int target,
            int index,
            int alivePeers,
            int maxBytes,
            double nowMs) {
        ByteBuffer message = GossipCodec.newMessage(maxBytes);
        if (!GossipCodec.addRecord(message, ownRecord, ownAgeMs)) {
            return null;
        }
        messageCount++;
        int reservedBytes = 1 + reservedHeartbeats(alivePeers) * GossipCodec.HEARTBEAT_BYTES;
        for (int i = index; i < MAX_RECORDS * fanout; i += fanout) {
            addRecord(message, leastRecentlyForwarded[i], target, reservedBytes, nowMs);
            addRecord(message, freshest[i], target, reservedBytes, nowMs);
        }
        GossipCodec.endRecords(message);
        for (int i = index; i < heartbeats.length && heartbeats[i] != null; i += fanout) {
            addHeartbeat(message, heartbeats[i], target);
        }
        return GossipCodec.toBytes(message);
    }

    /** For how many heartbeats the records leave room; fewer while an incarnation is new. */
    private int reservedHeartbeats(int alivePeers) {
        boolean hasNew =
                leastRecentlyForwarded[0] != null
                        && leastRecentlyForwarded[0].incarnationForwards()
                                < NEW_INCARNATION_FORWARDS;
        return hasNew
                ? MAX_HEARTBEATS / 4
                : Math.max(0, Math.min(MAX_HEARTBEATS, alivePeers - PEERS_WITHOUT_HEARTBEATS));
    }

    private void addRecord(
            ByteBuffer message, Peer peer, int target, int reservedBytes, double nowMs) {
        if (peer == null
                || peer.isIncludedIn(messageCount)
                || peer.incarnation().gateway() == target
                || message.remaining() < peer.encoded().length + reservedBytes) {
            return;
        }
        if (GossipCodec.addRecord(message, peer.encoded(), nowMs - peer.createdMs())) {
            peer.countRecordForward(messageCount, nowMs);
        }
    }

    private static void addHeartbeat(ByteBuffer message, Peer peer, int target) {
        double uptimeMs = peer.lastAliveMs() - peer.estimatedStartMs();
        if (peer.incarnation().gateway() != target
                && GossipCodec.addHeartbeat(message, peer.incarnation(), uptimeMs)) {
            peer.countHeartbeatForward();
        }
    }
}
