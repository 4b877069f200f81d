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
    private final double apart;
    private final TreeMap<String, String> homes;
    private TreeMap<Incarnation, Double> acks = new TreeMap<>();
    private TreeMap<Incarnation, long[]> reports = new TreeMap<>();
    State state = State.IDLE;
    private boolean back;
    private long turn;
    private int position;
    private int
            before; // position of the turn before, where nobody can be harmed by returning at once
    private MigrationPlan plan;
    private long halts;
    private double turned;
    private double logNow;
    private double[] usual = new double[0];
    private String told = "";

    /**
     * @param apart by how many ms clocks differ at most
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
        this.homes = new TreeMap<>(homes);
        this.leaseHolders = leaseHolders;
        this.apart = apart;
        this.rules = rules;
    }

    /** An independent copy that asks others about leases: what the lab explores from. */
    public MigrationState copy(LeaseHolders others) {
        MigrationState m = new MigrationState(homes, others, apart, rules);
        m.acks = new TreeMap<>(acks);
        m.reports = new TreeMap<>(reports);
        m.state = state;
        m.back = back;
        m.turn = turn;
        m.position = position;
        m.before = before;
        m.plan = plan;
        m.halts = halts;
        m.turned = turned;
        m.logNow = logNow;
        m.usual = usual;
        m.told = told;
        return m;
    }

    public MigrationStatus status() {
        return new MigrationStatus(state, back, turn, position, plan, homes);
    }

    /** Which halt is the present one; an operator's resume names it. */
    public long halts() {
        return halts;
    }

    /** What came of the last entry, in one line: for operators and the log of the process. */
    public String told() {
        return told;
    }

    public boolean acked(Incarnation incarnation) {
        return acks.containsKey(incarnation);
    }

    /** When each incarnation acknowledged the present position, by the log's time. */
    public Map<Incarnation, Double> acks() {
        return Collections.unmodifiableMap(acks);
    }

    double turned() {
        return turned;
    }

    double logNow() {
        return logNow;
    }

    /** The position of the turn before. */
    public int before() {
        return before;
    }

    /**
     * The log's time by its other entries: an incarnation that they have forgotten must be past for
     * these rules too.
     */
    public void seen(double logNow) {
        this.logNow = Math.max(this.logNow, logNow);
    }

    @Override
    public void apply(long index, byte[] entry) {
        try {
            MigrationEntry e = MigrationEntry.of(entry);
            logNow = Math.max(logNow, e.at());
            told =
                    index
                            + " "
                            + e.kind()
                            + (e.who().isEmpty() ? "" : " by " + e.who())
                            + ": "
                            + apply(e);
        } catch (MigrationEntry.Unknown e) {
            told = index + " refused: " + e.getMessage();
        }
    }

    private String apply(MigrationEntry e) {
        return switch (e.kind()) {
            case BEGIN -> begin(e.plan());
            case ACK -> ack(e);
            case GO -> go(e);
            case REPORT -> report(e);
            case HALT -> halt(e.who());
            case RESUME -> resume(e);
            case BACK -> back("asked for by " + e.who());
        };
    }

    private boolean moving() {
        return state == State.FORWARD || state == State.BACK;
    }

    private String begin(MigrationPlan next) {
        if (moving() || state == State.HALTED) {
            return "refused, " + plan.name + " is under way";
        }
        Map<String, String> now = new TreeMap<>(homes);
        if (state == State.DONE) {
            plan.frontends.forEach(m -> now.put(m.name(), m.to()));
        }
        for (MigrationPlan.Mover m : next.frontends) {
            if (!m.from().equals(now.get(m.name()))) {
                return "refused, " + m.name() + " is at " + now.get(m.name());
            }
        }
        homes.putAll(now);
        plan = next;
        state = State.FORWARD;
        back = false;
        usual = new double[next.frontends.size()];
        turn(0);
        before = 0;
        return "begun, " + (next.steps.size() - 1) + " steps";
    }

    private void turn(int to) {
        before = position;
        position = to;
        turn++;
        turned = logNow;
        acks.clear();
        reports.clear();
    }

    private String ack(MigrationEntry e) {
        if (plan == null || !rules.counts(turn, e.turn())) {
            return "refused, not of this turn";
        }
        if (acks.size() < MOST_INCARNATIONS) {
            acks.putIfAbsent(
                    e.incarnation(),
                    Math.max(e.at() + apart, turned)); // guards against a clock that is behind
        }
        return "ack " + acks.size();
    }

    private String go(MigrationEntry e) {
        if (!moving() || e.turn() != turn || !rules.next(position, e.to(), back)) {
            return "refused, not the next one";
        }
        boolean over = e.to() < 0 || e.to() >= plan.steps.size();
        boolean returns = rules.returns(before, position, e.to());
        if (!returns) {
            double since = logNow - rules.waits(plan, position, back);
            if (!rules.acked(leaseHolders, acks, since)) {
                return "refused, not all have acknowledged, or not long enough ago";
            }
            if (!back
                    && plan.steps.get(position).last()
                    && position > 0
                    && logNow - turned < plan.soak) {
                return "refused, it soaks";
            }
        }
        if (!back && !over && !rules.fits(plan, plan.steps.get(e.to()), e.warm())) {
            return "refused, too little of the group is warm";
        }
        if (over) {
            state = back ? State.UNDONE : State.DONE;
            return state.toString();
        }
        turn(e.to());
        return "at step " + position;
    }

    private String report(MigrationEntry e) {
        if (plan == null
                || e.turn() != turn
                || state != State.FORWARD
                || e.counts().length != 4 * plan.frontends.size()) {
            return "refused, not of this turn";
        }
        if (reports.size() < MOST_INCARNATIONS || reports.containsKey(e.incarnation())) {
            reports.put(e.incarnation(), e.counts());
        }
        for (int i = 0; i < plan.frontends.size(); i++) {
            long[] sum = new long[4];
            for (long[] counts : reports.values()) {
                for (int k = 0; k < 4; k++) {
                    sum[k] += Math.max(0, counts[4 * i + k]);
                }
            }
            if (sum[0] >= plan.answers) {
                usual[i] = (double) sum[1] / sum[0];
            }
            if (sum[2] >= plan.answers && (double) sum[3] / sum[2] > usual[i] + plan.margin) {
                return back(
                        plan.frontends.get(i).name()
                                + " bad: "
                                + sum[3]
                                + " of "
                                + sum[2]
                                + " at the new group, usual "
                                + Math.round(usual[i] * 1000) / 1000.0);
            }
        }
        return "counted";
    }

    private String halt(String who) {
        if (!moving()) {
            return "nothing to halt";
        }
        state = State.HALTED;
        halts++;
        return "halt " + halts + " at step " + position;
    }

    private String resume(MigrationEntry e) {
        if (!rules.lifts(state == State.HALTED, halts, e.turn())) {
            return "refused, no such halt";
        }
        state = back ? State.BACK : State.FORWARD;
        position = rules.resumed(position);
        return "resumed";
    }

    private String back(String why) {
        if (plan == null || state == State.UNDONE || state == State.BACK) {
            return "nothing to take back";
        }
        state = State.BACK;
        back = true;
        return "goes back: " + why;
    }

    @Override
    public byte[] snapshot() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(MigrationEntry.VERSION);
            out.writeByte(state.ordinal());
            out.writeBoolean(back);
            out.writeLong(turn);
            out.writeInt(position);
            out.writeInt(before);
            out.writeLong(halts);
            out.writeDouble(turned);
            out.writeDouble(logNow);
            out.writeInt(homes.size());
            for (Map.Entry<String, String> h : homes.entrySet()) {
                out.writeUTF(h.getKey());
                out.writeUTF(h.getValue());
            }
            out.writeInt(acks.size());
            for (Map.Entry<Incarnation, Double> a : acks.entrySet()) {
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
                for (double u : usual) {
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
            back = in.readBoolean();
            turn = in.readLong();
            position = in.readInt();
            before = in.readInt();
            halts = in.readLong();
            turned = in.readDouble();
            logNow = in.readDouble();
            homes.clear();
            for (int n = in.readInt(); n > 0; n--) {
                homes.put(in.readUTF(), in.readUTF());
            }
            acks.clear();
            for (int n = in.readInt(); n > 0; n--) {
                acks.put(new Incarnation(in.readInt(), in.readLong()), in.readDouble());
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
            usual = new double[plan == null ? 0 : plan.frontends.size()];
            for (int i = 0; i < usual.length; i++) {
                usual[i] = in.readDouble();
            }
        } catch (IOException e) {
            throw new UncheckedIOException("snapshot of moves: expected a whole one", e);
        }
        told = index + " restored";
    }
}
