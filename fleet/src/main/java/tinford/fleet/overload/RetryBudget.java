package tinford.fleet.overload;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Membership;

/**
 * One budget of retries for the fleet, kept as accounts. First attempts feed the own account, and
 * retries draw on it. What overflows is ceded to a gateway with failures, by a running total in the
 * giver's record, of which the receiver takes what it has risen by since it last took. So a record
 * that is lost, repeated or old moves nothing twice, and all gateways together never send more
 * retries than the part of first attempts. Without gossip each gateway has its own even share. A
 * giver with false records makes at most twice the part of a median gateway. Memory: two accounts
 * for each gateway, {@link #MAX_PEERS} at most. Times are in ms.
 */
public final class RetryBudget {
    private static final int MAX_PEERS = 1024;

    /** Retries that the whole fleet may save up. */
    private static final double FLEET_BURST = 40;

    /** Retries that each gateway may save up, however large the fleet is. */
    private static final double MIN_BURST = 2;

    /** Free retries that are kept for attempts that never ran. */
    private static final int MAX_FREE_RETRIES = 100;

    /** How long one receiver is kept, so that the records reach it. */
    private static final double RECEIVER_INTERVAL_MS = 500;

    /** Bounds the need of one gateway, or a false one would receive everything. */
    private static final double MAX_NEED = 100;

    private static final double MAX_STEP_MS = 1000;
    private static final double MS_PER_SECOND = 1000;

    /** What was ceded to, or taken from, one incarnation. */
    private static final class Account {
        final Incarnation incarnation;

        /** Running total of retries. */
        double total;

        /** Retries that may be taken now. */
        double credit = 1;

        Account(Incarnation incarnation) {
            this.incarnation = incarnation;
        }
    }

    private final double retryPart;
    private final Random random;
    private final Map<Integer, Account> ceded = new LinkedHashMap<>();
    private final Map<Integer, Account> taken = new LinkedHashMap<>();
    private int freeRetries;
    private double burst = MIN_BURST;
    private double level;
    private double overflow;
    private double receiverChosenMs = Double.NEGATIVE_INFINITY;
    private double lastUpdateMs = -1;

    /** Null where nothing is ceded. */
    private Account receiver;

    /**
     * @param retryPart of first attempts that may be retried, over the fleet
     */
    public RetryBudget(double retryPart, Random random) {
        this.retryPart = retryPart;
        this.random = random;
    }

    /** Retries that may be sent now. */
    public double level() {
        return level;
    }

    /**
     * A first attempt feeds the budget. A retry costs one, or nothing where an attempt before
     * surely never ran, as only attempts that may have run are limited.
     */
    public void attemptSent(boolean isRetry) {
        if (!isRetry) {
            level += retryPart;
            overflow += Math.max(0, level - burst);
            level = Math.min(burst, level);
        } else if (freeRetries > 0) {
            freeRetries--;
        } else {
            level = Math.max(0, level - 1);
        }
    }

    /** An attempt surely never ran, so that its retry is free. */
    public void attemptNeverRan() {
        freeRetries = Math.min(freeRetries + 1, MAX_FREE_RETRIES);
    }

    /** Takes what others cede, and cedes the own overflow. */
    public void update(double nowMs, Incarnation self, Membership membership) {
        double stepMs =
                lastUpdateMs < 0 ? 0 : Math.max(0, Math.min(nowMs - lastUpdateMs, MAX_STEP_MS));
        lastUpdateMs = nowMs;
        burst = Math.max(MIN_BURST, FLEET_BURST / Math.max(1, membership.fleetSize()));
        level = Math.min(burst, level);
        double creditStep =
                2 * retryPart * medianFirstAttempts(membership) * stepMs / MS_PER_SECOND;
        for (GossipRecord record : membership.freshRecords()) {
            if (record.incarnation.gateway() != self.gateway()
                    && self.equals(record.retriesCededTo)) {
                take(record, creditStep);
            }
        }
        chooseReceiver(nowMs, self, membership);
        if (receiver != null) {
            receiver.total += overflow;
        }
        overflow = 0;
    }

    private static double medianFirstAttempts(Membership membership) {
        double[] rates =
                membership.freshRecords().stream()
                        .mapToDouble(record -> FleetTotals.sanitize(record.firstAttempts))
                        .sorted()
                        .toArray();
        return rates.length == 0 ? 0 : rates[rates.length / 2];
    }

    /** What was taken is not ceded again, or it would wander among the gateways. */
    private void take(GossipRecord giver, double creditStep) {
        Account account = account(taken, giver.incarnation);
        if (account == null) {
            return;
        }
        account.credit = Math.min(burst, account.credit + creditStep);
        double risen = FleetTotals.sanitize(giver.retriesCeded) - account.total;
        double amount = Math.max(0, Math.min(risen, account.credit));
        account.total += amount;
        account.credit -= amount;
        level = Math.min(burst, level + amount);
    }

    /** Writes what is ceded into the own record. */
    public void writeTo(GossipRecord ownRecord) {
        ownRecord.retriesCededTo = receiver == null ? null : receiver.incarnation;
        ownRecord.retriesCeded = receiver == null ? 0 : receiver.total;
    }

    /** A later incarnation begins at zero; null for an earlier one, or where there are too many. */
    private static Account account(Map<Integer, Account> accounts, Incarnation incarnation) {
        Account account = accounts.get(incarnation.gateway());
        if (account != null && account.incarnation.start() >= incarnation.start()) {
            return account.incarnation.equals(incarnation) ? account : null;
        }
        if (account == null && accounts.size() >= MAX_PEERS) {
            return null;
        }
        Account created = new Account(incarnation);
        accounts.put(incarnation.gateway(), created);
        return created;
    }

    /** At random, in proportion to the failures that a gateway's own budget does not cover. */
    private void chooseReceiver(double nowMs, Incarnation self, Membership membership) {
        if (nowMs - receiverChosenMs < RECEIVER_INTERVAL_MS) {
            return;
        }
        receiverChosenMs = nowMs;
        Incarnation chosen = null;
        double totalNeed = 0;
        for (GossipRecord record : membership.freshRecords()) {
            double need = need(record);
            if (record.incarnation.gateway() == self.gateway() || need <= 0) {
                continue;
            }
            totalNeed += need;
            if (random.nextDouble() * totalNeed < need) {
                chosen = record.incarnation;
            }
        }
        receiver = chosen == null ? null : account(ceded, chosen);
    }

    private double need(GossipRecord record) {
        double covered = retryPart * FleetTotals.sanitize(record.firstAttempts);
        return Math.min(MAX_NEED, Math.max(0, FleetTotals.sanitize(record.failed) - covered));
    }
}
