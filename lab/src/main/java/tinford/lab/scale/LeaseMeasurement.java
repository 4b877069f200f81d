package tinford.lab.scale;

import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Renewals of leases by the number of gateways, through a quorum of five: entries, bytes, state.
 */
final class LeaseMeasurement implements Measurement {
    private static final int VOTERS = 5;
    private static final double SETTLE_MS = 5000;
    private static final double DURATION_MS = 12_000;

    @Override
    public String name() {
        return "log.leases";
    }

    @Override
    public String sizeUnit() {
        return "gateways";
    }

    @Override
    public int[] sizes(boolean full) {
        return full ? new int[] {5, 50, 100, 200, 400, 530, 1060} : new int[] {5, 10, 20, 40};
    }

    @Override
    public int repetitions() {
        return 5;
    }

    @Override
    public Growth expected() {
        return Growth.LINEAR;
    }

    @Override
    public Sample measure(int gateways, UniformRandomProvider random) {
        LeaseRenewals renewals = new LeaseRenewals(gateways, VOTERS, random);
        renewals.play(SETTLE_MS);
        long entriesBefore = renewals.entries();
        long bytesBefore = renewals.entryBytes();
        long appliedBefore = renewals.applied();
        double applyMsBefore = renewals.applyMs();
        renewals.play(DURATION_MS);
        double applied = renewals.applied() - appliedBefore;
        double seconds = DURATION_MS / 1000;
        double applyMs = renewals.applyMs() - applyMsBefore;
        return new Sample(
                Map.of(
                        "entries_per_second",
                        (renewals.entries() - entriesBefore) / seconds,
                        "entry_bytes_per_second",
                        (renewals.entryBytes() - bytesBefore) / seconds,
                        "holders",
                        (double) renewals.holders(),
                        "snapshot_bytes",
                        (double) renewals.snapshotBytes()),
                Map.of(
                        "apply_us_per_entry",
                        1000 * applyMs / applied,
                        "apply_core_share_per_member",
                        applyMs / VOTERS / DURATION_MS));
    }
}
