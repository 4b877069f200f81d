package tinford.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import tinford.fleet.transport.InMemoryNetwork;
import tinford.fleet.transport.Transport;

/**
 * A fleet of members in virtual time, for tests: each renews its record and has its round every 100
 * ms, at a moment of its own.
 */
final class SimulatedGossipFleet {
    static final double EVERY = 100;
    static final int FANOUT = 2;
    final InMemoryNetwork net;
    final GossipMembership[] members;
    final Transport[] transports;
    final boolean[] stopped;
    final int[] seq;

    /** By incarnation and seq: when the record was made. */
    final Map<Incarnation, List<Double>> made = new HashMap<>();

    final Random chance;
    double now = 1000;
    private final double suspectAfter;

    /** How many times as much as others a gateway sees. */
    final double[] sees;

    SimulatedGossipFleet(int n, double suspectAfter, double freshFor, long seed) {
        net = new InMemoryNetwork(n, 256, 200, seed);
        net.advance(now);
        members = new GossipMembership[n];
        transports = new Transport[n];
        stopped = new boolean[n];
        seq = new int[n];
        sees = new double[n];
        chance = new Random(seed);
        this.suspectAfter = suspectAfter;
        this.freshFor = freshFor;
        for (int i = 0; i < n; i++) {
            sees[i] = 1;
            start(i, 1000);
        }
    }

    private final double freshFor;

    void start(int i, long at) {
        GossipMembership m =
                new GossipMembership(
                        new Incarnation(i, at),
                        members.length,
                        EVERY,
                        FANOUT,
                        suspectAfter,
                        freshFor,
                        new Random(chance.nextLong()));
        members[i] = m;
        seq[i] = 0;
        stopped[i] = false;
        transports[i] = net.open(i, (from, message) -> m.receive(message, from, net.nowMs()));
    }

    void kill(int i) {
        transports[i].close();
        stopped[i] = true;
    }

    /** Advances by one round of all, in ten steps, a tenth of the gateways at each. */
    void round() {
        for (int step = 0; step < 10; step++) {
            now += EVERY / 10;
            net.advance(now);
            for (int i = step; i < members.length; i += 10) {
                if (!stopped[i]) {
                    turn(i);
                }
            }
        }
    }

    private void turn(int i) {
        GossipRecord s = new GossipRecord(members[i].incarnation(i), seq[i]);
        seq[i]++;
        made.computeIfAbsent(s.incarnation, l -> new ArrayList<>()).add(now);
        for (int c = 4; c < 14; c++) {
            s.offeredUnits[c] = 10 * sees[i];
            s.admittedUnits[c] = c < 9 ? 0 : c == 9 ? 3 * sees[i] : s.offeredUnits[c];
        }
        s.firstAttempts = 50 * sees[i];
        members[i].setOwnRecord(s, now);
        members[i].sendRound(now, transports[i]);
    }

    void run(double ms) {
        for (double end = now + ms; now < end; ) {
            round();
        }
    }

    /** Ms until it is so, at most {@code most}. */
    double until(double most, java.util.function.BooleanSupplier so) {
        double from = now;
        while (!so.getAsBoolean() && now - from < most) {
            round();
        }
        return now - from;
    }
}
