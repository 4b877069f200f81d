package tinford.fleet.membership;

import java.util.Arrays;

/** The peers of a gateway, indexed by number, and which of them it suspects of having failed. */
final class PeerTable {
    private final Peer[] peers;
    private final double suspectAfterMs;

    /**
     * Local time of the latest heartbeat of each gateway for which no record is known. A heartbeat
     * is forwarded until it is as old as the suspicion timeout, so that a gateway known only by
     * heartbeats may count as alive for up to twice that timeout.
     */
    private final double[] heartbeatOnlyAliveMs;

    PeerTable(int gateways, double suspectAfterMs) {
        this.peers = new Peer[gateways];
        this.suspectAfterMs = suspectAfterMs;
        this.heartbeatOnlyAliveMs = new double[gateways];
        Arrays.fill(heartbeatOnlyAliveMs, Double.NEGATIVE_INFINITY);
    }

    int size() {
        return peers.length;
    }

    /** The peer with this number; null if no record of it was received. */
    Peer get(int gateway) {
        return peers[gateway];
    }

    /** The peers by number, null for those without a received record; not a copy. */
    Peer[] all() {
        return peers;
    }

    boolean isAlive(int gateway, double nowMs) {
        Peer peer = peers[gateway];
        return peer == null
                ? nowMs - heartbeatOnlyAliveMs[gateway] <= suspectAfterMs
                : peer.isAlive(nowMs, suspectAfterMs);
    }

    /** Processes a record of another gateway; an outdated one changes nothing. */
    void receiveRecord(GossipCodec.Received received, double nowMs, SuspensionDetector suspension) {
        Incarnation incarnation = received.record().incarnation;
        Peer peer = peers[incarnation.gateway()];
        if (peer == null || replaces(incarnation, peer, nowMs)) {
            double ageMs = received.ageMs() + suspension.maxQueueingDelayMs(nowMs);
            if (ageMs <= suspectAfterMs) {
                peers[incarnation.gateway()] = new Peer(received, nowMs - ageMs, nowMs);
            }
        } else if (incarnation.start() == peer.incarnation().start()) {
            receiveSameIncarnation(peer, received, nowMs, suspension.isResuming(nowMs));
        }
    }

    /**
     * Whether a record's incarnation replaces the known one: a later one does, and an earlier one
     * does once the later one has been silent for long enough.
     */
    private boolean replaces(Incarnation incarnation, Peer peer, double nowMs) {
        boolean forgotten =
                nowMs - peer.lastAliveMs()
                        > GossipMembership.FORGET_AFTER_SUSPICION_TIMEOUTS * suspectAfterMs;
        return incarnation.start() > peer.incarnation().start()
                || forgotten && incarnation.start() < peer.incarnation().start();
    }

    private void receiveSameIncarnation(
            Peer peer, GossipCodec.Received received, double nowMs, boolean isResuming) {
        double apparentStartMs = nowMs - received.ageMs() - received.uptimeMs();
        double estimatedStartMs = peer.updateStartEstimate(apparentStartMs, nowMs, !isResuming);
        double ageMs = Math.max(received.ageMs(), nowMs - received.uptimeMs() - estimatedStartMs);
        if (ageMs <= suspectAfterMs && peer.isOlderThan(received.record())) {
            peer.replaceRecord(received, nowMs - ageMs);
        }
    }

    /** Processes a heartbeat; one of an unknown incarnation does not replace a known one. */
    void receiveHeartbeat(GossipCodec.Heartbeat heartbeat, double nowMs, boolean isResuming) {
        if (heartbeat.gateway() >= peers.length) {
            return;
        }
        Peer peer = peers[heartbeat.gateway()];
        if (peer == null) {
            if (!isResuming) {
                heartbeatOnlyAliveMs[heartbeat.gateway()] = nowMs;
            }
            return;
        }
        if (heartbeat.belongsTo(peer.incarnation())) {
            double lastAliveMs =
                    peer.estimatedStartMs() + heartbeat.uptimeMs(nowMs - peer.estimatedStartMs());
            if (lastAliveMs <= nowMs) {
                peer.updateLastAlive(lastAliveMs);
            }
        }
    }

    /**
     * Lets the peers that were alive before this process was suspended count as alive for another
     * suspicion timeout, so that their next messages can arrive.
     *
     * @param suspendedAtMs local time at which the suspension began
     */
    void presumeAliveAfterSuspension(double suspendedAtMs, double nowMs) {
        for (Peer peer : peers) {
            if (peer != null && peer.isAlive(suspendedAtMs, suspectAfterMs)) {
                peer.presumeAliveUntil(nowMs + suspectAfterMs);
            }
        }
    }
}
