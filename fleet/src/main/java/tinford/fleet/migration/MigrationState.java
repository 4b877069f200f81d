package tinford.fleet.migration;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.store.ReplicatedLog;

/**
 * State machine of the migration, which follows from the entries of the replicated log and is the
 * same on every member. Only {@link #apply} enforces the rules: an entry that they don't allow now
 * changes nothing. Holds one plan, and an acknowledgement and a report of each incarnation in the
 * current epoch.
 */
public final class MigrationState implements ReplicatedLog.StateMachine {
    /** States of the migration; docs/moves.md has the table of transitions. */
    public enum State {
        /** No plan has begun yet. */
        IDLE,
        /** Steps are taken in the order of the plan. */
        FORWARD,
        /** An operator has halted the migration. */
        HALTED,
        /** The migration is being reverted: steps are taken in reverse order. */
        BACK,
        /** The plan has been completed. */
        DONE,
        /** The plan has been reverted. */
        UNDONE
    }

    private static final int MAX_INCARNATIONS = 4096;
    private static final int COUNTS_PER_FRONTEND = 4;

    private final TransitionRules rules;
    private final LeaseHolders leaseHolders;
    private final double maxClockSkewMs;
    private MigrationProgress progress;
    private String lastOutcome = "";

    /**
     * @param homeGroups the initial group of each frontend that may migrate
     * @param maxClockSkewMs the most by which clocks of the fleet may differ
     */
    public MigrationState(
            Map<String, String> homeGroups, LeaseHolders leaseHolders, double maxClockSkewMs) {
        this(homeGroups, leaseHolders, maxClockSkewMs, new TransitionRules());
    }

    /**
     * @param rules of transitions; tests and the lab replace single rules by faulty ones
     */
    public MigrationState(
            Map<String, String> homeGroups,
            LeaseHolders leaseHolders,
            double maxClockSkewMs,
            TransitionRules rules) {
        this.leaseHolders = leaseHolders;
        this.maxClockSkewMs = maxClockSkewMs;
        this.rules = rules;
        this.progress = new MigrationProgress(homeGroups);
    }

    /** Returns an independent copy with other leases, which the lab uses to explore transitions. */
    public MigrationState copy(LeaseHolders otherLeaseHolders) {
        MigrationState copy =
                new MigrationState(Map.of(), otherLeaseHolders, maxClockSkewMs, rules);
        copy.progress = new MigrationProgress(progress);
        copy.lastOutcome = lastOutcome;
        return copy;
    }

    /** Returns the status after the last applied entry. */
    public MigrationStatus status() {
        return new MigrationStatus(
                progress.state,
                progress.reverting,
                progress.epoch,
                progress.stepIndex,
                progress.plan,
                progress.homeGroups);
    }

    /** Number of the last halt, which an operator has to pass to resume the migration. */
    public long haltCount() {
        return progress.haltCount;
    }

    /** The outcome of the last entry, in one line, for operators and the process's log. */
    public String lastOutcome() {
        return lastOutcome;
    }

    /** Whether an incarnation has acknowledged the current epoch. */
    public boolean hasAcknowledged(Incarnation incarnation) {
        return progress.acknowledgements.containsKey(incarnation);
    }

    /** When each incarnation acknowledged the current epoch, in the log's time. */
    public Map<Incarnation, Double> acknowledgements() {
        return Collections.unmodifiableMap(progress.acknowledgements);
    }

    /** Index of the step of the previous epoch. */
    public int previousStep() {
        return progress.previousStep;
    }

    /**
     * Advances the log's time to that of other entries in the log, so that an incarnation whose
     * lease has expired by them is not waited for here.
     */
    public void observeTime(double logTimeMs) {
        progress.logTimeMs = Math.max(progress.logTimeMs, logTimeMs);
    }

    @Override
    public void apply(long index, byte[] bytes) {
        try {
            MigrationEntry entry = MigrationEntry.decode(bytes);
            observeTime(entry.timestampMs());
            String operator = entry.operator().isEmpty() ? "" : " by " + entry.operator();
            lastOutcome = index + " " + entry.kind() + operator + ": " + apply(entry);
        } catch (MigrationEntry.UnreadableEntryException e) {
            lastOutcome = index + " refused: " + e.getMessage();
        }
    }

    /** Returns the outcome, for operators. */
    private String apply(MigrationEntry entry) {
        return switch (entry.kind()) {
            case BEGIN -> begin(entry.plan());
            case ACK -> acknowledge(entry);
            case GO -> takeStep(entry);
            case REPORT -> report(entry);
            case HALT -> halt();
            case RESUME -> resume(entry);
            case BACK -> revert("requested by " + entry.operator());
        };
    }

    private String begin(MigrationPlan next) {
        if (progress.isInProgress() || progress.state == State.HALTED) {
            return "refused, plan " + progress.plan.name + " is in progress";
        }
        Map<String, String> currentGroups = currentGroups();
        for (MigrationPlan.FrontendMigration frontend : next.frontends) {
            String currentGroup = currentGroups.get(frontend.name());
            if (!frontend.sourceGroup().equals(currentGroup)) {
                return "refused, frontend "
                        + frontend.name()
                        + ": expected to be in group "
                        + frontend.sourceGroup()
                        + ", is in "
                        + currentGroup;
            }
        }
        progress.homeGroups.putAll(currentGroups);
        progress.plan = next;
        progress.state = State.FORWARD;
        progress.reverting = false;
        progress.baselineFailureShares = new double[next.frontends.size()];
        progress.changeStep(0);
        progress.previousStep = 0;
        return "begun, " + (next.steps.size() - 1) + " steps";
    }

    /** The current group of each frontend, with the last plan if that was completed. */
    private Map<String, String> currentGroups() {
        Map<String, String> groups = new TreeMap<>(progress.homeGroups);
        if (progress.state == State.DONE) {
            for (MigrationPlan.FrontendMigration frontend : progress.plan.frontends) {
                groups.put(frontend.name(), frontend.targetGroup());
            }
        }
        return groups;
    }

    private String acknowledge(MigrationEntry entry) {
        if (progress.plan == null || !rules.isCurrentEpoch(progress.epoch, entry.epoch())) {
            return "refused, expected epoch " + progress.epoch + ", got " + entry.epoch();
        }
        if (progress.acknowledgements.size() < MAX_INCARNATIONS) {
            // The incarnation's clock may be behind the log's time by the skew.
            double acknowledgedMs =
                    Math.max(entry.timestampMs() + maxClockSkewMs, progress.stepStartedMs);
            progress.acknowledgements.putIfAbsent(entry.incarnation(), acknowledgedMs);
        }
        return "acknowledged by " + progress.acknowledgements.size() + " incarnations";
    }

    private String takeStep(MigrationEntry entry) {
        if (!progress.isInProgress()
                || entry.epoch() != progress.epoch
                || !rules.isNextStep(progress.stepIndex, entry.targetStep(), progress.reverting)) {
            return "refused, not the next step: at step "
                    + progress.stepIndex
                    + " of epoch "
                    + progress.epoch
                    + ", state "
                    + progress.state
                    + ", got step "
                    + entry.targetStep()
                    + " for epoch "
                    + entry.epoch();
        }
        if (!rules.isReturn(progress.previousStep, progress.stepIndex, entry.targetStep())) {
            if (!allAcknowledged()) {
                return "refused, a gateway has not acknowledged the step, or not long enough ago";
            }
            if (isSoaking()) {
                return "refused, soak of the stage is not over";
            }
        }
        boolean ends = entry.targetStep() < 0 || entry.targetStep() >= progress.plan.steps.size();
        if (ends) {
            progress.state = progress.reverting ? State.UNDONE : State.DONE;
            return progress.state.toString();
        }
        if (!progress.reverting && !hasCapacity(entry)) {
            return "refused, not enough warm capacity in a target group";
        }
        progress.changeStep(entry.targetStep());
        return "at step " + progress.stepIndex;
    }

    private boolean allAcknowledged() {
        double waitMs = rules.waitMs(progress.plan, progress.stepIndex, progress.reverting);
        return rules.allAcknowledged(
                leaseHolders, progress.acknowledgements, progress.logTimeMs - waitMs);
    }

    private boolean isSoaking() {
        return !progress.reverting
                && progress.stepIndex > 0
                && progress.plan.steps.get(progress.stepIndex).lastOfStage()
                && progress.logTimeMs - progress.stepStartedMs < progress.plan.soakMs;
    }

    private boolean hasCapacity(MigrationEntry entry) {
        MigrationStep step = progress.plan.steps.get(entry.targetStep());
        return rules.hasCapacity(progress.plan, step, entry.warmUnits());
    }

    private String report(MigrationEntry entry) {
        if (progress.plan == null
                || entry.epoch() != progress.epoch
                || progress.state != State.FORWARD
                || entry.outcomeCounts().length
                        != COUNTS_PER_FRONTEND * progress.plan.frontends.size()) {
            return "refused, expected a report for epoch "
                    + progress.epoch
                    + " with "
                    + COUNTS_PER_FRONTEND
                    + " counts per frontend in state FORWARD, got epoch "
                    + entry.epoch()
                    + " in state "
                    + progress.state;
        }
        if (progress.reports.size() < MAX_INCARNATIONS
                || progress.reports.containsKey(entry.incarnation())) {
            progress.reports.put(entry.incarnation(), entry.outcomeCounts());
        }
        for (int i = 0; i < progress.plan.frontends.size(); i++) {
            OutcomeTotals totals = totals(i);
            updateBaseline(i, totals);
            if (targetGroupFails(i, totals)) {
                return revert(failureReason(i, totals));
            }
        }
        return "counted";
    }

    /** Outcomes of one frontend, summed over all reports of the epoch. */
    private record OutcomeTotals(
            long sourceAnswers, long sourceFailures, long targetAnswers, long targetFailures) {}

    private OutcomeTotals totals(int frontend) {
        long[] sums = new long[COUNTS_PER_FRONTEND];
        for (long[] counts : progress.reports.values()) {
            for (int i = 0; i < COUNTS_PER_FRONTEND; i++) {
                sums[i] += Math.max(0, counts[COUNTS_PER_FRONTEND * frontend + i]);
            }
        }
        return new OutcomeTotals(sums[0], sums[1], sums[2], sums[3]);
    }

    private void updateBaseline(int frontend, OutcomeTotals totals) {
        if (totals.sourceAnswers >= progress.plan.minAnswers) {
            progress.baselineFailureShares[frontend] =
                    (double) totals.sourceFailures / totals.sourceAnswers;
        }
    }

    private boolean targetGroupFails(int frontend, OutcomeTotals totals) {
        double limit = progress.baselineFailureShares[frontend] + progress.plan.failureMargin;
        return totals.targetAnswers >= progress.plan.minAnswers
                && (double) totals.targetFailures / totals.targetAnswers > limit;
    }

    private String failureReason(int frontend, OutcomeTotals totals) {
        return progress.plan.frontends.get(frontend).name()
                + " failed or late in "
                + totals.targetFailures
                + " of "
                + totals.targetAnswers
                + " answers at the target group, baseline share "
                + Math.round(progress.baselineFailureShares[frontend] * 1000) / 1000.0;
    }

    private String halt() {
        if (!progress.isInProgress()) {
            return "no migration in progress to halt";
        }
        progress.state = State.HALTED;
        progress.haltCount++;
        return "halt " + progress.haltCount + " at step " + progress.stepIndex;
    }

    private String resume(MigrationEntry entry) {
        boolean halted = progress.state == State.HALTED;
        if (!rules.liftsHalt(halted, progress.haltCount, entry.epoch())) {
            return "refused, not halted by halt " + entry.epoch() + ", state " + progress.state;
        }
        progress.state = progress.reverting ? State.BACK : State.FORWARD;
        progress.stepIndex = rules.stepAfterResume(progress.stepIndex);
        return "resumed";
    }

    private String revert(String reason) {
        if (progress.plan == null
                || progress.state == State.UNDONE
                || progress.state == State.BACK) {
            return "nothing to revert";
        }
        progress.state = State.BACK;
        progress.reverting = true;
        return "reverting: " + reason;
    }

    @Override
    public byte[] snapshot() {
        return MigrationSnapshot.encode(progress);
    }

    @Override
    public void restore(long index, byte[] snapshot) {
        MigrationSnapshot.restore(progress, snapshot);
        lastOutcome = index + " restored";
    }
}
