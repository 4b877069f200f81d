package tinford.fleet.membership;

import java.util.Arrays;

/** What a gateway knows of the others by number, and which of them it suspects. */
final class PeerTable {
    private final Peer[] peers;
    private final double suspectAfterMs;

    /**
     * When a heartbeat was heard of a gateway without a known record. The heartbeat may itself be
     * as old as it may be forwarded, so a gateway that is known by heartbeats alone may count as
     * alive for twice the suspicion time.
     */
    private final double[] heartbeatOnlyMs;

    PeerTable(int gateways, double suspectAfterMs) {
        this.peers = new Peer[gateways];
        this.suspectAfterMs = suspectAfterMs;
        this.heartbeatOnlyMs = new double[gateways];
        Arrays.fill(heartbeatOnlyMs, Double.NEGATIVE_INFINITY);
    }

    int size() {
        return peers.length;
    }

    /** Null where no record was received. */
    Peer get(int gateway) {
        return peers[gateway];
    }

    /** By number, with null for those of which no record was received; not a copy. */
    Peer[] all() {
        return peers;
    }

    boolean isAlive(int gateway, double nowMs) {
        Peer peer = peers[gateway];
        return peer == null
                ? nowMs - heartbeatOnlyMs[gateway] <= suspectAfterMs
                : peer.isAlive(nowMs, suspectAfterMs);
    }

    /** Takes a record of another gateway; an outdated one changes nothing. */
    void receiveRecord(GossipCodec.Received received, double nowMs, SuspensionDetector suspension) {
        Incarnation incarnation = received.record().incarnation;
        Peer peer = peers[incarnation.gateway()];
        if (peer == null || replaces(incarnation, peer, nowMs)) {
            double ageMs = received.ageMs() + suspension.possibleDelayMs(nowMs);
            if (ageMs <= suspectAfterMs) {
                peers[incarnation.gateway()] = new Peer(received, nowMs - ageMs, nowMs);
            }
        } else if (incarnation.start() == peer.incarnation().start()) {
            receiveNext(peer, received, nowMs, suspension.isWakingUp(nowMs));
        }
    }

    /** A later incarnation does, or an earlier one once the later was silent for long. */
    private boolean replaces(Incarnation incarnation, Peer peer, double nowMs) {
        boolean forgotten =
                nowMs - peer.aliveMs()
                        > GossipMembership.FORGET_AFTER_SUSPICION_TIMES * suspectAfterMs;
        return incarnation.start() > peer.incarnation().start()
                || forgotten && incarnation.start() < peer.incarnation().start();
    }

    private void receiveNext(
            Peer peer, GossipCodec.Received received, double nowMs, boolean isWakingUp) {
        double apparentStartMs = nowMs - received.ageMs() - received.madeAtMs();
        double startMs = peer.updateStart(apparentStartMs, nowMs, !isWakingUp);
        double ageMs = Math.max(received.ageMs(), nowMs - received.madeAtMs() - startMs);
        if (ageMs <= suspectAfterMs && peer.isOlderThan(received.record())) {
            peer.replaceRecord(received, nowMs - ageMs);
        }
    }

    /** Takes a heartbeat; one of an unknown incarnation does not replace a known one. */
    void receiveHeartbeat(GossipCodec.Heartbeat heartbeat, double nowMs, boolean isWakingUp) {
        if (heartbeat.gateway() >= peers.length) {
            return;
        }
        Peer peer = peers[heartbeat.gateway()];
        if (peer == null) {
            if (!isWakingUp) {
                heartbeatOnlyMs[heartbeat.gateway()] = nowMs;
            }
            return;
        }
        if (heartbeat.isOf(peer.incarnation())) {
            double aliveMs = peer.startMs() + heartbeat.aliveMs(nowMs - peer.startMs());
            if (aliveMs <= nowMs) {
                peer.recordAlive(aliveMs);
            }
        }
    }

    /** Gives those alive before a suspension of the own process the time to be heard of again. */
    void grantToAlive(double beforeMs, double nowMs) {
        for (Peer peer : peers) {
            if (peer != null && peer.isAlive(beforeMs, suspectAfterMs)) {
                peer.grantUntil(nowMs + suspectAfterMs);
            }
        }
    }
}
