package tinford.fleet.overload;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Membership;

/**
 * This gateway's part of the fleet's retry budget.
 *
 * <p>First attempts add to the budget and retries draw on it. What a full budget can't hold is
 * ceded to a gateway that sees failures, as a running total in this gateway's record. The receiver
 * adds the increase of the total since the last record that it evaluated, so that a record that is
 * lost, duplicated or outdated transfers nothing twice: whatever records each gateway has received,
 * together they never send more retries than the ratio allows. Without records each gateway uses
 * only what its own first attempts add. A gateway that reports a wrong total can cede at most twice
 * the share of the median gateway. Holds two accounts for each of at most {@link #MAX_PEERS} peers.
 * Not thread-safe.
 */
public final class RetryBudget {
    private static final int MAX_PEERS = 1024;

    /** Retries that the whole fleet may accumulate. */
    private static final double FLEET_BURST = 40;

    /**
     * Retries that each gateway may accumulate at least. In a large fleet a higher minimum would
     * allow a surge of retries.
     */
    private static final double MIN_GATEWAY_BURST = 2;

    /** Unused free retries beyond this number are forfeited. */
    private static final int MAX_FREE_RETRIES = 100;

    /** How long a receiver is kept, so that the records that cede to it can reach it. */
    private static final double RECEIVER_INTERVAL_MS = 500;

    /** Bounds the weight of a gateway that reports excessive failures when a receiver is chosen. */
    private static final double MAX_NEED_PER_SECOND = 100;

    /** Longest time since the previous update that an update takes into account. */
    private static final double MAX_STEP_MS = 1000;

    private static final double MS_PER_SECOND = 1000;

    /** What was ceded to, or received from, one incarnation of a peer in total. */
    private static final class Account {
        private final Incarnation peer;
        private double total;

        /** What may still be received from the peer. */
        private double credit = 1;

        Account(Incarnation peer) {
            this.peer = peer;
        }
    }

    private final double retryRatio;
    private final Random random;
    private final Map<Integer, Account> cededByPeer = new LinkedHashMap<>();
    private final Map<Integer, Account> receivedByPeer = new LinkedHashMap<>();
    private int freeRetries;
    private double maxLevel = MIN_GATEWAY_BURST;
    private double level;
    private double surplus;
    private double receiverChosenAtMs = Double.NEGATIVE_INFINITY;
    private double updatedAtMs = -1;
    private Account receiver;

    /**
     * @param retryRatio retries per first attempt, over the fleet
     */
    public RetryBudget(double retryRatio, Random random) {
        this.retryRatio = retryRatio;
        this.random = random;
    }

    /** Retries that this gateway may send now. */
    public double level() {
        return level;
    }

    /**
     * Counts an attempt. A retry costs 1, or nothing if an attempt is known not to have been
     * executed: the number of attempts that may have been executed stays bounded.
     */
    public void attemptSent(boolean retry) {
        if (!retry) {
            addOwn(retryRatio);
        } else if (freeRetries > 0) {
            freeRetries--;
        } else {
            level = Math.max(0, level - 1);
        }
    }

    /**
     * To be called when an attempt has ended that is known not to have been executed; one retry is
     * then free.
     */
    public void attemptNeverRan() {
        freeRetries = Math.min(freeRetries + 1, MAX_FREE_RETRIES);
    }

    /** Receives what the peers ceded by their records, and cedes this gateway's surplus. */
    public void update(double nowMs, Incarnation self, Membership membership) {
        double stepMs =
                updatedAtMs < 0 ? 0 : Math.max(0, Math.min(nowMs - updatedAtMs, MAX_STEP_MS));
        updatedAtMs = nowMs;
        maxLevel = Math.max(MIN_GATEWAY_BURST, FLEET_BURST / Math.max(1, membership.fleetSize()));
        level = Math.min(maxLevel, level);
        double median = medianFirstAttempts(membership);
        double newCredit = 2 * retryRatio * median * stepMs / MS_PER_SECOND;
        for (GossipRecord record : membership.freshRecords()) {
            boolean isOwn = record.incarnation.gateway() == self.gateway();
            if (!isOwn && self.equals(record.retriesCededTo)) {
                receive(record, newCredit);
            }
        }
        chooseReceiver(nowMs, self, membership);
        if (receiver != null) {
            receiver.total += surplus;
        }
        surplus = 0;
    }

    private static double medianFirstAttempts(Membership membership) {
        double[] sorted =
                membership.freshRecords().stream()
                        .mapToDouble(record -> FleetTotals.sanitize(record.firstAttempts))
                        .sorted()
                        .toArray();
        return sorted.length == 0 ? 0 : sorted[sorted.length / 2];
    }

    private void receive(GossipRecord record, double newCredit) {
        Account account = account(receivedByPeer, record.incarnation);
        if (account == null) {
            return;
        }
        account.credit = Math.min(maxLevel, account.credit + newCredit);
        double ceded = FleetTotals.sanitize(record.retriesCeded) - account.total;
        double received = Math.max(0, Math.min(ceded, account.credit));
        account.total += received;
        account.credit -= received;
        addReceived(received);
    }

    /** Writes what was ceded into this gateway's record. */
    public void writeTo(GossipRecord record) {
        record.retriesCededTo = receiver == null ? null : receiver.peer;
        record.retriesCeded = receiver == null ? 0 : receiver.total;
    }

    /**
     * Returns the account of a peer's incarnation, a new one if it is later than the known one;
     * null if it is earlier, or if the maximum number of accounts is reached.
     */
    private static Account account(Map<Integer, Account> accounts, Incarnation peer) {
        Account existing = accounts.get(peer.gateway());
        if (existing != null && existing.peer.start() >= peer.start()) {
            return existing.peer.equals(peer) ? existing : null;
        }
        if (existing == null && accounts.size() >= MAX_PEERS) {
            return null;
        }
        Account account = new Account(peer);
        accounts.put(peer.gateway(), account);
        return account;
    }

    private void addOwn(double amount) {
        level += amount;
        surplus += Math.max(0, level - maxLevel);
        level = Math.min(maxLevel, level);
    }

    /** Adds what was received. It is never ceded again, or it would circulate among gateways. */
    private void addReceived(double amount) {
        level = Math.min(maxLevel, level + amount);
    }

    /**
     * Chooses a receiver at random, in proportion to the failures that the gateway's own budget
     * does not cover.
     */
    private void chooseReceiver(double nowMs, Incarnation self, Membership membership) {
        if (nowMs - receiverChosenAtMs < RECEIVER_INTERVAL_MS) {
            return;
        }
        receiverChosenAtMs = nowMs;
        Incarnation chosen = null;
        double total = 0;
        for (GossipRecord record : membership.freshRecords()) {
            double need = need(record);
            if (record.incarnation.gateway() == self.gateway() || need <= 0) {
                continue;
            }
            total += need;
            if (random.nextDouble() * total < need) {
                chosen = record.incarnation;
            }
        }
        receiver = chosen == null ? null : account(cededByPeer, chosen);
    }

    private double need(GossipRecord record) {
        double ownBudget = retryRatio * FleetTotals.sanitize(record.firstAttempts);
        double uncovered = Math.max(0, FleetTotals.sanitize(record.failed) - ownBudget);
        return Math.min(uncovered, MAX_NEED_PER_SECOND);
    }
}
