package tinford.fleet.overload;

import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Membership;

/**
 * The worth a unit below which nothing is passed while the servers bear less than is asked for:
 * every gateway works it out from the same records. What the servers bear is what they answer in
 * time while strained; it is told to the others, and a middle value of what all believe is kept to,
 * so that gateways that join, or that heard a little less, end at the same line. Without strain it
 * grows, slowly at first and then ever faster, until there is no line: whoever still asks, a line
 * is gone within two windows after its cause.
 */
public final class AdmissionThreshold {
    private static final double NONE = Double.POSITIVE_INFINITY;
    private static final double WAIT_S =
            0.05; // for a slot, on average: gateways' own limits are full; bursts stay below
    private static final double CHANCE =
            3; // standard deviations: with few requests, one that waits is no strain
    private static final double LASTS_MS =
            600; // before a line begins: a start, or a burst, is over by then
    private static final double BAD =
            0.25; // of what ended, late or failed: above one server in five that is ill
    private static final double SETTLE_MS =
            400; // towards what is answered now: some rounds, or one bad one would set it
    private static final double AGREE_MS =
            2000; // towards the others: slower than the growth, or their age would hold it back
    private static final double OPENED =
            1.1; // borne over asked for: a line that would pass all but bursts is none

    private final double window;
    private double capacity = NONE,
            strainedFor,
            strainedAt,
            at = -1,
            openedAt = Double.NEGATIVE_INFINITY;
    private double threshold, part = 1, asked;

    /**
     * @param window in ms: without strain, the line is gone within two of them
     */
    public AdmissionThreshold(double window) {
        this.window = window;
    }

    public double threshold() {
        return threshold;
    }

    /** Of the class that begins at the threshold. */
    public double part() {
        return part;
    }

    /** For the own record. */
    public double capacity() {
        return capacity == NONE ? 0 : capacity;
    }

    /** Units a second asked for over those borne; 1 at most where there is no line. */
    public double overAsked() {
        return capacity == NONE ? 0 : asked / Math.max(1e-9, capacity);
    }

    public void round(double now, Membership membership) {
        double passed = at < 0 ? 0 : Math.max(0, Math.min(now - at, 1000));
        at = now;
        // guards a gateway that hears nobody: its own record is no fleet's, so it acts as alone
        if (membership.aliveCount() <= 1 || membership.freshRecords().size() < 2) {
            capacity = NONE;
            draw(null);
            return;
        }
        FleetTotals all = new FleetTotals(membership);
        agree(membership, passed);
        boolean strained = all.demand > 0 && (waits(all) || all.bad > BAD);
        strainedFor = Math.max(0, Math.min(LASTS_MS, strainedFor + (strained ? passed : -passed)));
        if (strained && (capacity != NONE || strainedFor >= LASTS_MS)) {
            strainedAt = now;
            double towards = Math.min(all.demand, all.goodUnits);
            capacity =
                    capacity == NONE
                            ? Math.max(towards, all.demand / 2)
                            : capacity + (towards - capacity) * Math.min(1, passed / SETTLE_MS);
        } else if (capacity != NONE) {
            double calm = now - strainedAt, before = Math.max(0, calm - passed);
            capacity =
                    Math.max(capacity, all.demand / 64)
                            * Math.pow(2, (calm * calm - before * before) / (window * window));
            if (capacity > OPENED * all.demand) {
                capacity = NONE;
                openedAt = now;
            }
        }
        draw(all);
    }

    // guards against a line out of chance that what it sheds keeps up: the fewer are passed, the
    // less waits
    private static boolean waits(FleetTotals all) {
        double usual = WAIT_S * all.first;
        return all.waiting > usual + CHANCE * Math.sqrt(Math.max(1, usual));
    }

    private void agree(Membership membership, double passed) {
        double[] told =
                membership.freshRecords().stream()
                        .mapToDouble(s -> FleetTotals.clean(s.capacity))
                        .map(b -> b > 0 ? b : NONE)
                        .sorted()
                        .toArray();
        double middle = told[told.length / 2];
        if (middle != NONE && capacity == NONE) {
            // a gateway that joins; but a line that just went does not come back by records of
            // before
            capacity = at - openedAt > window ? middle : NONE;
        } else if (middle != NONE) {
            capacity *= Math.pow(middle / capacity, Math.min(1, passed / AGREE_MS));
        } else if (capacity != NONE) {
            capacity *= 1 + passed / AGREE_MS;
        }
    }

    /** From the worthiest class down, as far as it is borne. */
    private void draw(FleetTotals all) {
        threshold = 0;
        part = 1;
        asked = all == null ? 0 : all.demand;
        double left = capacity;
        if (left == NONE) return;
        for (int c = GossipRecord.PRIORITY_CLASSES - 1; c >= 0; c--) {
            if (all.asked[c] > left) {
                threshold = GossipRecord.minWeightOf(c);
                part = Math.max(0, left / all.asked[c]);
                return;
            }
            left -= all.asked[c];
        }
    }
}
