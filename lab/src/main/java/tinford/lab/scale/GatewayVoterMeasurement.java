package tinford.lab.scale;

import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What becomes of renewals where each gateway keeps a copy of the log: each of them applies the
 * entries of all.
 */
final class GatewayVoterMeasurement implements Measurement {
    private static final double SETTLE_MS = 5000;
    private static final double DURATION_MS = 3000;

    @Override
    public String name() {
        return "log.gateway-voters";
    }

    @Override
    public String sizeUnit() {
        return "gateways";
    }

    @Override
    public int[] sizes(boolean full) {
        return full ? new int[] {5, 50, 100, 200, 400, 530} : new int[] {5, 10, 20, 40};
    }

    @Override
    public int repetitions() {
        return 3;
    }

    @Override
    public Growth expected() {
        return Growth.SQUARE;
    }

    @Override
    public Sample measure(int gateways, UniformRandomProvider random) {
        LeaseRenewals renewals = new LeaseRenewals(gateways, gateways, random);
        renewals.play(SETTLE_MS);
        long appliedBefore = renewals.applied();
        double applyMsBefore = renewals.applyMs();
        renewals.play(DURATION_MS);
        double applied = renewals.applied() - appliedBefore;
        double applyMs = renewals.applyMs() - applyMsBefore;
        double seconds = DURATION_MS / 1000;
        return new Sample(
                Map.of(
                        "applied_per_second_and_gateway",
                        applied / gateways / seconds,
                        "applied_per_second",
                        applied / seconds),
                Map.of("apply_core_share_per_gateway", applyMs / gateways / DURATION_MS));
    }
}
