package tinford.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import tinford.fleet.transport.InMemoryNetwork;
import tinford.fleet.transport.Transport;

/**
 * A fleet of gateways that gossip over a simulated network, in virtual time. Each gateway updates
 * its record and sends a round every 100 ms; the rounds of different gateways are staggered.
 */
final class SimulatedGossipFleet {
    static final double ROUND_INTERVAL_MS = 100;
    static final int FANOUT = 2;
    final InMemoryNetwork network;
    final GossipMembership[] members;
    final Transport[] transports;
    final boolean[] stopped;
    final int[] sequences;

    /** Creation time of each record, by incarnation and sequence. */
    final Map<Incarnation, List<Double>> createdMs = new HashMap<>();

    final Random random;
    double nowMs = 1000;
    private final double suspectAfterMs;
    private final double freshForMs;

    /** Load of each gateway, as a multiple of the normal load. */
    final double[] loadFactors;

    SimulatedGossipFleet(int n, double suspectAfterMs, double freshForMs, long seed) {
        network = new InMemoryNetwork(n, 256, 200, seed);
        network.advance(nowMs);
        members = new GossipMembership[n];
        transports = new Transport[n];
        stopped = new boolean[n];
        sequences = new int[n];
        loadFactors = new double[n];
        random = new Random(seed);
        this.suspectAfterMs = suspectAfterMs;
        this.freshForMs = freshForMs;
        for (int i = 0; i < n; i++) {
            loadFactors[i] = 1;
            start(i, 1000);
        }
    }

    void start(int i, long atMs) {
        GossipMembership membership =
                new GossipMembership(
                        new Incarnation(i, atMs),
                        members.length,
                        ROUND_INTERVAL_MS,
                        FANOUT,
                        suspectAfterMs,
                        freshForMs,
                        new Random(random.nextLong()));
        members[i] = membership;
        sequences[i] = 0;
        stopped[i] = false;
        transports[i] =
                network.open(
                        i, (from, message) -> membership.receive(message, from, network.nowMs()));
    }

    void kill(int i) {
        transports[i].close();
        stopped[i] = true;
    }

    /**
     * Advances by one round of all gateways, in ten steps in each of which a tenth of them send.
     */
    void round() {
        for (int step = 0; step < 10; step++) {
            nowMs += ROUND_INTERVAL_MS / 10;
            network.advance(nowMs);
            for (int i = step; i < members.length; i += 10) {
                if (!stopped[i]) {
                    sendRound(i);
                }
            }
        }
    }

    private void sendRound(int i) {
        GossipRecord record = new GossipRecord(members[i].incarnation(i), sequences[i]);
        sequences[i]++;
        createdMs.computeIfAbsent(record.incarnation, l -> new ArrayList<>()).add(nowMs);
        for (int c = 4; c < 14; c++) {
            record.offeredUnits[c] = 10 * loadFactors[i];
            record.admittedUnits[c] =
                    c < 9 ? 0 : c == 9 ? 3 * loadFactors[i] : record.offeredUnits[c];
        }
        record.firstAttempts = 50 * loadFactors[i];
        members[i].setOwnRecord(record, nowMs);
        members[i].sendRound(nowMs, transports[i]);
    }

    void run(double durationMs) {
        for (double endMs = nowMs + durationMs; nowMs < endMs; ) {
            round();
        }
    }

    /** Runs until the condition holds, for at most {@code maxMs}; returns the elapsed ms. */
    double runUntil(double maxMs, BooleanSupplier condition) {
        double startedMs = nowMs;
        while (!condition.getAsBoolean() && nowMs - startedMs < maxMs) {
            round();
        }
        return nowMs - startedMs;
    }
}
