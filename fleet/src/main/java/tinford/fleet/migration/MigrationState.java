package tinford.fleet.migration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.store.ReplicatedLog;

/**
 * What the entries about moves have come to, on every member alike. {@link #apply} is the one place
 * that enforces the rules: an entry that is not due alters nothing. Holds one plan, and an ack and
 * a report of each incarnation that has them in the present turn.
 */
public final class MigrationState implements ReplicatedLog.StateMachine {
    /** See the table in docs/moves.md. */
    public enum State {
        IDLE,
        FORWARD,
        HALTED,
        BACK,
        DONE,
        UNDONE
    }

    private static final int MOST_INCARNATIONS = 4096;
    private final TransitionRules rules;
    private final LeaseHolders leaseHolders;
    private final double maxClockSkewMs;
    private final TreeMap<String, String> homeGroups;
    private TreeMap<Incarnation, Double> acknowledgements = new TreeMap<>();
    private TreeMap<Incarnation, long[]> reports = new TreeMap<>();
    State state = State.IDLE;
    private boolean reverting;
    private long epoch;
    private int stepIndex;
    private int
            previousStep; // position of the turn before, where nobody can be harmed by returning at
    // once
    private MigrationPlan plan;
    private long haltCount;
    private double stepStartedMs;
    private double logTimeMs;
    private double[] baselineFailureShares = new double[0];
    private String lastOutcome = "";

    /**
     * @param maxClockSkewMs by how many ms clocks differ at most
     */
    public MigrationState(Map<String, String> homes, LeaseHolders leaseHolders, double apart) {
        this(homes, leaseHolders, apart, new TransitionRules());
    }

    /**
     * @param rules tests and the lab replace one at a time by a broken one
     */
    public MigrationState(
            Map<String, String> homes,
            LeaseHolders leaseHolders,
            double apart,
            TransitionRules rules) {
        this.homeGroups = new TreeMap<>(homes);
        this.leaseHolders = leaseHolders;
        this.maxClockSkewMs = apart;
        this.rules = rules;
    }

    /** An independent copy that asks others about leases: what the lab explores from. */
    public MigrationState copy(LeaseHolders others) {
        MigrationState m = new MigrationState(homeGroups, others, maxClockSkewMs, rules);
        m.acknowledgements = new TreeMap<>(acknowledgements);
        m.reports = new TreeMap<>(reports);
        m.state = state;
        m.reverting = reverting;
        m.epoch = epoch;
        m.stepIndex = stepIndex;
        m.previousStep = previousStep;
        m.plan = plan;
        m.haltCount = haltCount;
        m.stepStartedMs = stepStartedMs;
        m.logTimeMs = logTimeMs;
        m.baselineFailureShares = baselineFailureShares;
        m.lastOutcome = lastOutcome;
        return m;
    }

    public MigrationStatus status() {
        return new MigrationStatus(state, reverting, epoch, stepIndex, plan, homeGroups);
    }

    /** Which halt is the present one; an operator's resume names it. */
    public long haltCount() {
        return haltCount;
    }

    /** What came of the last entry, in one line: for operators and the log of the process. */
    public String lastOutcome() {
        return lastOutcome;
    }

    public boolean hasAcknowledged(Incarnation incarnation) {
        return acknowledgements.containsKey(incarnation);
    }

    /** When each incarnation acknowledged the present position, by the log's time. */
    public Map<Incarnation, Double> acknowledgements() {
        return Collections.unmodifiableMap(acknowledgements);
    }

    double stepStartedMs() {
        return stepStartedMs;
    }

    double logTimeMs() {
        return logTimeMs;
    }

    /** The position of the turn before. */
    public int previousStep() {
        return previousStep;
    }

    /**
     * The log's time by its other entries: an incarnation that they have forgotten must be past for
     * these rules too.
     */
    public void observeTime(double logNow) {
        this.logTimeMs = Math.max(this.logTimeMs, logNow);
    }

    @Override
    public void apply(long index, byte[] entry) {
        try {
            MigrationEntry e = MigrationEntry.of(entry);
            logTimeMs = Math.max(logTimeMs, e.timestampMs());
            lastOutcome =
                    index
                            + " "
                            + e.kind()
                            + (e.operator().isEmpty() ? "" : " by " + e.operator())
                            + ": "
                            + apply(e);
        } catch (MigrationEntry.UnreadableEntryException e) {
            lastOutcome = index + " refused: " + e.getMessage();
        }
    }

    private String apply(MigrationEntry e) {
        return switch (e.kind()) {
            case BEGIN -> begin(e.plan());
            case ACK -> ack(e);
            case GO -> go(e);
            case REPORT -> report(e);
            case HALT -> halt(e.operator());
            case RESUME -> resume(e);
            case BACK -> back("asked for by " + e.operator());
        };
    }

    private boolean moving() {
        return state == State.FORWARD || state == State.BACK;
    }

    private String begin(MigrationPlan next) {
        if (moving() || state == State.HALTED) {
            return "refused, " + plan.name + " is under way";
        }
        Map<String, String> now = new TreeMap<>(homeGroups);
        if (state == State.DONE) {
            plan.frontends.forEach(m -> now.put(m.name(), m.targetGroup()));
        }
        for (MigrationPlan.FrontendMigration m : next.frontends) {
            if (!m.sourceGroup().equals(now.get(m.name()))) {
                return "refused, " + m.name() + " is at " + now.get(m.name());
            }
        }
        homeGroups.putAll(now);
        plan = next;
        state = State.FORWARD;
        reverting = false;
        baselineFailureShares = new double[next.frontends.size()];
        turn(0);
        previousStep = 0;
        return "begun, " + (next.steps.size() - 1) + " steps";
    }

    private void turn(int to) {
        previousStep = stepIndex;
        stepIndex = to;
        epoch++;
        stepStartedMs = logTimeMs;
        acknowledgements.clear();
        reports.clear();
    }

    private String ack(MigrationEntry e) {
        if (plan == null || !rules.isCurrentEpoch(epoch, e.epoch())) {
            return "refused, not of this turn";
        }
        if (acknowledgements.size() < MOST_INCARNATIONS) {
            acknowledgements.putIfAbsent(
                    e.incarnation(),
                    Math.max(
                            e.timestampMs() + maxClockSkewMs,
                            stepStartedMs)); // guards against a clock that is behind
        }
        return "ack " + acknowledgements.size();
    }

    private String go(MigrationEntry e) {
        if (!moving()
                || e.epoch() != epoch
                || !rules.isNextStep(stepIndex, e.targetStep(), reverting)) {
            return "refused, not the next one";
        }
        boolean over = e.targetStep() < 0 || e.targetStep() >= plan.steps.size();
        boolean returns = rules.isReturn(previousStep, stepIndex, e.targetStep());
        if (!returns) {
            double since = logTimeMs - rules.waitMs(plan, stepIndex, reverting);
            if (!rules.allAcknowledged(leaseHolders, acknowledgements, since)) {
                return "refused, not all have acknowledged, or not long enough ago";
            }
            if (!reverting
                    && plan.steps.get(stepIndex).lastOfStage()
                    && stepIndex > 0
                    && logTimeMs - stepStartedMs < plan.soakMs) {
                return "refused, it soaks";
            }
        }
        if (!reverting
                && !over
                && !rules.hasCapacity(plan, plan.steps.get(e.targetStep()), e.warmUnits())) {
            return "refused, too little of the group is warm";
        }
        if (over) {
            state = reverting ? State.UNDONE : State.DONE;
            return state.toString();
        }
        turn(e.targetStep());
        return "at step " + stepIndex;
    }

    private String report(MigrationEntry e) {
        if (plan == null
                || e.epoch() != epoch
                || state != State.FORWARD
                || e.outcomeCounts().length != 4 * plan.frontends.size()) {
            return "refused, not of this turn";
        }
        if (reports.size() < MOST_INCARNATIONS || reports.containsKey(e.incarnation())) {
            reports.put(e.incarnation(), e.outcomeCounts());
        }
        for (int i = 0; i < plan.frontends.size(); i++) {
            long[] sum = new long[4];
            for (long[] counts : reports.values()) {
                for (int k = 0; k < 4; k++) {
                    sum[k] += Math.max(0, counts[4 * i + k]);
                }
            }
            if (sum[0] >= plan.minAnswers) {
                baselineFailureShares[i] = (double) sum[1] / sum[0];
            }
            if (sum[2] >= plan.minAnswers
                    && (double) sum[3] / sum[2] > baselineFailureShares[i] + plan.failureMargin) {
                return back(
                        plan.frontends.get(i).name()
                                + " bad: "
                                + sum[3]
                                + " of "
                                + sum[2]
                                + " at the new group, usual "
                                + Math.round(baselineFailureShares[i] * 1000) / 1000.0);
            }
        }
        return "counted";
    }

    private String halt(String who) {
        if (!moving()) {
            return "nothing to halt";
        }
        state = State.HALTED;
        haltCount++;
        return "halt " + haltCount + " at step " + stepIndex;
    }

    private String resume(MigrationEntry e) {
        if (!rules.liftsHalt(state == State.HALTED, haltCount, e.epoch())) {
            return "refused, no such halt";
        }
        state = reverting ? State.BACK : State.FORWARD;
        stepIndex = rules.stepAfterResume(stepIndex);
        return "resumed";
    }

    private String back(String why) {
        if (plan == null || state == State.UNDONE || state == State.BACK) {
            return "nothing to take back";
        }
        state = State.BACK;
        reverting = true;
        return "goes back: " + why;
    }

    @Override
    public byte[] snapshot() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(MigrationEntry.VERSION);
            out.writeByte(state.ordinal());
            out.writeBoolean(reverting);
            out.writeLong(epoch);
            out.writeInt(stepIndex);
            out.writeInt(previousStep);
            out.writeLong(haltCount);
            out.writeDouble(stepStartedMs);
            out.writeDouble(logTimeMs);
            out.writeInt(homeGroups.size());
            for (Map.Entry<String, String> h : homeGroups.entrySet()) {
                out.writeUTF(h.getKey());
                out.writeUTF(h.getValue());
            }
            out.writeInt(acknowledgements.size());
            for (Map.Entry<Incarnation, Double> a : acknowledgements.entrySet()) {
                incarnation(out, a.getKey());
                out.writeDouble(a.getValue());
            }
            out.writeInt(reports.size());
            for (Map.Entry<Incarnation, long[]> r : reports.entrySet()) {
                incarnation(out, r.getKey());
                out.writeInt(r.getValue().length);
                for (long c : r.getValue()) {
                    out.writeLong(c);
                }
            }
            out.writeBoolean(plan != null);
            if (plan != null) {
                plan.write(out);
                for (double u : baselineFailureShares) {
                    out.writeDouble(u);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void incarnation(DataOutputStream out, Incarnation incarnation)
            throws IOException {
        out.writeInt(incarnation.gateway());
        out.writeLong(incarnation.start());
    }

    @Override
    public void restore(long index, byte[] snapshot) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(snapshot))) {
            int version = in.readByte();
            if (version != MigrationEntry.VERSION) {
                throw new IllegalArgumentException(
                        "snapshot of moves: version: expected "
                                + MigrationEntry.VERSION
                                + ", not "
                                + version);
            }
            state = State.values()[in.readByte()];
            reverting = in.readBoolean();
            epoch = in.readLong();
            stepIndex = in.readInt();
            previousStep = in.readInt();
            haltCount = in.readLong();
            stepStartedMs = in.readDouble();
            logTimeMs = in.readDouble();
            homeGroups.clear();
            for (int n = in.readInt(); n > 0; n--) {
                homeGroups.put(in.readUTF(), in.readUTF());
            }
            acknowledgements.clear();
            for (int n = in.readInt(); n > 0; n--) {
                acknowledgements.put(new Incarnation(in.readInt(), in.readLong()), in.readDouble());
            }
            reports.clear();
            for (int n = in.readInt(); n > 0; n--) {
                Incarnation incarnation = new Incarnation(in.readInt(), in.readLong());
                long[] counts = new long[in.readInt()];
                for (int i = 0; i < counts.length; i++) {
                    counts[i] = in.readLong();
                }
                reports.put(incarnation, counts);
            }
            plan = in.readBoolean() ? MigrationPlan.read(in) : null;
            baselineFailureShares = new double[plan == null ? 0 : plan.frontends.size()];
            for (int i = 0; i < baselineFailureShares.length; i++) {
                baselineFailureShares[i] = in.readDouble();
            }
        } catch (IOException e) {
            throw new UncheckedIOException("snapshot of moves: expected a whole one", e);
        }
        lastOutcome = index + " restored";
    }
}
