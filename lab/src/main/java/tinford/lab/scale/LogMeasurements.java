package tinford.lab.scale;

import java.util.List;

/** The replicated log: its voters, the leases that are renewed through it, and what it bounds. */
final class LogMeasurements {
    private LogMeasurements() {}

    static List<Measurement> all() {
        return List.of(
                new RaftAppendMeasurement(),
                new LeaseMeasurement(),
                new RaftRenewalMeasurement(),
                new GatewayVoterMeasurement(),
                new BudgetedServersMeasurement(),
                new GrantEntryMeasurement());
    }
}
