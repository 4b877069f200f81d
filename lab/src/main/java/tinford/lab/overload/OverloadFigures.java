package tinford.lab.overload;

import java.util.List;

/** Adds up what is asked for, sent on and passed. */
final class OverloadFigures {
    /** Requests of this worth and more are the worthy ones. */
    private static final double WORTHY = 4;

    private static final int BIN_MS = 500;
    private static final int BINS = (int) (OverloadSimulation.END_MS / BIN_MS);
    private static final int FIRST_STEADY_BIN = 4;
    private static final double RECOVERED_WITHIN = 0.03;

    /** Until gateways have noticed that servers are lost, tries at them are not counted. */
    private static final double NOTICE_MS = 3000;

    private static final double SECOND_MS = 1000;

    private final double[] unitsByKind = new double[OverloadSimulation.WORTHS.length];
    private final double[] passedByBin = new double[BINS];
    private final double[] askedByBin = new double[BINS];
    private double asked;
    private double passed;
    private double askedOverall;
    private double passedOverall;
    private double firstDispatches;
    private double dispatches;
    private double triesAtLost;

    private static int bin(double now) {
        return Math.min(BINS - 1, (int) (now / BIN_MS));
    }

    /** Asked for the first time. */
    void asked(SimulatedRequest request, int kind, SimulatedGateway gateway, double now) {
        double worth = request.totalWorth();
        askedOverall += worth;
        askedByBin[bin(now)] += worth;
        if (!request.counts) {
            return;
        }
        asked += worth;
        unitsByKind[kind] += request.request.units;
        if (request.worth >= WORTHY) {
            gateway.worthyAsked += worth;
        }
    }

    void dispatched(SimulatedRequest request, SimulatedServer server, double now) {
        if (!OverloadSimulation.isStrained(now)) {
            return;
        }
        dispatches++;
        if (!request.isFurther) {
            firstDispatches++;
        }
        if (server.lost && now > OverloadSimulation.LOSS_AT_MS + NOTICE_MS) {
            triesAtLost++;
        }
    }

    void passed(SimulatedRequest request, SimulatedGateway gateway, double now) {
        double worth = request.totalWorth();
        passedOverall += worth;
        passedByBin[bin(now)] += worth;
        if (!request.counts) {
            return;
        }
        if (now < OverloadSimulation.RETURN_AT_MS) {
            passed += worth;
        }
        if (request.worth >= WORTHY) {
            gateway.worthyPassed += worth;
        }
    }

    OverloadResult result(List<SimulatedGateway> gateways) {
        double countedSeconds = (OverloadSimulation.LOST_MS - NOTICE_MS) / SECOND_MS;
        return new OverloadResult(
                passed / asked,
                best() / asked,
                dispatches / firstDispatches,
                triesAtLost / countedSeconds / (OverloadSimulation.SERVERS / 2),
                deviation(gateways),
                recovery(),
                passedOverall / askedOverall);
    }

    private static double deviation(List<SimulatedGateway> gateways) {
        double[] parts =
                gateways.stream()
                        .filter(gateway -> gateway.worthyAsked > 0)
                        .mapToDouble(gateway -> gateway.worthyPassed / gateway.worthyAsked)
                        .toArray();
        double mean = 0;
        for (double part : parts) {
            mean += part / parts.length;
        }
        double variance = 0;
        for (double part : parts) {
            variance += (part - mean) * (part - mean) / parts.length;
        }
        return Math.sqrt(variance);
    }

    /**
     * All that the servers that are left can do, filled from the worthiest down, without a delay or
     * an error.
     */
    private double best() {
        double unitsLeft =
                OverloadSimulation.UNITS_PER_MS
                        * OverloadSimulation.SERVERS
                        / 2
                        * (OverloadSimulation.LOST_MS - OverloadSimulation.COUNT_AFTER_MS);
        double worth = 0;
        for (int kind = unitsByKind.length - 1; kind >= 0; kind--) {
            double units = Math.min(unitsLeft, unitsByKind[kind]);
            worth += OverloadSimulation.WORTHS[kind] * units;
            unitsLeft -= units;
        }
        return worth;
    }

    /** From the servers' return until what passes is as before the loss, for a second. */
    private double recovery() {
        double lossBin = OverloadSimulation.LOSS_AT_MS / BIN_MS;
        double before = 0;
        for (int bin = FIRST_STEADY_BIN; bin < lossBin; bin++) {
            before += passedPart(bin) / (lossBin - FIRST_STEADY_BIN);
        }
        int returnBin = (int) (OverloadSimulation.RETURN_AT_MS / BIN_MS);
        for (int bin = returnBin; bin + 1 < BINS; bin++) {
            double least = Math.min(passedPart(bin), passedPart(bin + 1));
            if (least > before - RECOVERED_WITHIN) {
                return (bin - returnBin) * BIN_MS;
            }
        }
        return OverloadSimulation.END_MS - OverloadSimulation.RETURN_AT_MS;
    }

    private double passedPart(int bin) {
        return passedByBin[bin] / askedByBin[bin];
    }
}
