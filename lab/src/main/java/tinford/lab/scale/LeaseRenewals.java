package tinford.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.fleet.budget.BudgetLedger;
import tinford.fleet.budget.LocalBudget;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.store.InMemoryLogs;
import tinford.fleet.store.ReplicatedLog;

/**
 * Gateways that renew their leases through logs in memory, in virtual time. Their ticks are spread
 * by chance over the tick's length.
 */
final class LeaseRenewals {
    private static final long START_MS = 100_000;
    private static final double STEP_MS = 25;
    private static final double DELAY_MS = 5;
    private static final double SILENCE_MS = 400;
    private static final double APPEND_MS = 2000;
    private static final int IN_FLIGHT = 256;
    private static final int SNAPSHOT_ENTRIES = 200;

    private final List<AppliedLedger> members = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final InMemoryLogs logs;
    private double now = START_MS;
    private long entries;
    private long entryBytes;

    /** A gateway's share, and the member of the log that it hands its entries to. */
    private static final class Gateway {
        private final LocalBudget share;
        private final ReplicatedLog log;
        private double nextTick;

        Gateway(LocalBudget share, ReplicatedLog log, double nextTick) {
            this.share = share;
            this.log = log;
            this.nextTick = nextTick;
        }
    }

    /**
     * @param voters members of the log; gateways are shared out among them by turns
     */
    LeaseRenewals(int gatewayCount, int voters, UniformRandomProvider random) {
        RandomGenerator chance = new Random(random.nextLong());
        logs =
                new InMemoryLogs(
                        voters,
                        DELAY_MS,
                        SILENCE_MS,
                        APPEND_MS,
                        IN_FLIGHT,
                        SNAPSHOT_ENTRIES,
                        chance);
        List<ReplicatedLog> handles = new ArrayList<>();
        for (int member = 0; member < voters; member++) {
            AppliedLedger applied = new AppliedLedger(LeaseDeployment.ledger(gatewayCount));
            members.add(applied);
            handles.add(logs.open(member + 1, applied));
        }
        for (Incarnation incarnation : LeaseDeployment.incarnations(gatewayCount, START_MS)) {
            int member = incarnation.gateway() % voters;
            BudgetLedger ledger = members.get(member).ledger();
            LocalBudget share = LeaseDeployment.share(ledger, gatewayCount, incarnation);
            double firstTick = START_MS + random.nextDouble() * LeaseDeployment.ROUND_MS;
            gateways.add(new Gateway(share, handles.get(member), firstTick));
        }
    }

    /** Plays so many virtual ms. */
    void play(double durationMs) {
        for (double end = now + durationMs; now < end; ) {
            now += STEP_MS;
            for (Gateway gateway : gateways) {
                tick(gateway);
            }
            logs.advance(now);
        }
    }

    private void tick(Gateway gateway) {
        while (gateway.nextTick <= now) {
            for (byte[] entry : gateway.share.nextEntries(gateway.nextTick)) {
                entries++;
                entryBytes += entry.length;
                gateway.log.append(entry);
            }
            gateway.nextTick += LeaseDeployment.TICK_MS;
        }
    }

    /** Entries that gateways handed to the log so far. */
    long entries() {
        return entries;
    }

    /** The bytes of those entries. */
    long entryBytes() {
        return entryBytes;
    }

    /** Entries that members have applied so far, each member counted. */
    long applied() {
        return members.stream().mapToLong(AppliedLedger::entries).sum();
    }

    /** Processor time of all members for what they have applied so far, ms. */
    double applyMs() {
        return members.stream().mapToDouble(AppliedLedger::processorMs).sum();
    }

    /** How many gateways hold a lease now. */
    long holders() {
        return gateways.stream().filter(gateway -> gateway.share.hasLease(now)).count();
    }

    /** The bytes of one member's snapshot. */
    int snapshotBytes() {
        return members.get(0).snapshot().length;
    }
}
