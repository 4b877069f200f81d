package tinford.fleet.migration;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tinford.api.RequestClass;

/**
 * A checked plan of moves. What it holds obeys the rules of its form; at most {@link #MOST}
 * frontends of as many shares each.
 */
public final class MigrationPlan {
    public static final int MOST = 64;
    private static final int LONGEST = 64;

    /**
     * How one frontend moves.
     *
     * @param shares of its customers, rising, the last one 1
     * @param units a second that it may need, all of it
     * @param begins the stage in which it begins, from 1; 0 for as soon as what it needs has moved
     * @param told whether its clients say which requests are retries
     * @param held ms in which a request that may have run may still run, or its repeat would still
     *     be dropped; 0 unless uniqued
     */
    public record Mover(
            String name,
            String from,
            String to,
            List<String> needs,
            int begins,
            List<Double> shares,
            double units,
            int connections,
            boolean uniqued,
            boolean told,
            double held) {}

    /**
     * What a group can take in addition to what stays there: units a second when warm, the part of
     * them when cold, connections.
     */
    public record Room(double units, int connections, double coldPart) {}

    /**
     * What a plan is held against: the frontends that may move, where each one lives, and the
     * groups.
     */
    public record Known(
            Map<String, RequestClass> frontends,
            Map<String, String> homes,
            Map<String, Room> groups) {}

    public final String name;
    public final double soak;

    /**
     * How much higher the share of failed and late answers may be at the new group, and from how
     * many answers on it counts.
     */
    public final double margin;

    public final int answers;
    public final List<Mover> frontends;

    /** The groups that frontends go to, by name. */
    public final TreeMap<String, Room> groups;

    public final List<MigrationStep> steps;
    private final Map<String, Integer> index = new HashMap<>();

    /**
     * @throws PlanErrors.Refused where it breaks a rule of form
     */
    public MigrationPlan(
            String name,
            double soak,
            double margin,
            int answers,
            List<Mover> frontends,
            Map<String, Room> groups) {
        this.name = name;
        this.soak = soak;
        this.margin = margin;
        this.answers = answers;
        this.frontends = List.copyOf(frontends);
        this.groups = new TreeMap<>(groups);
        PlanErrors faults = new PlanErrors("plan", "");
        check(name, soak, margin, answers, frontends, faults);
        faults.refuse();
        for (int i = 0; i < frontends.size(); i++) {
            index.put(frontends.get(i).name, i);
        }
        steps = MigrationStages.of(this);
    }

    public int index(String frontend) {
        return index.getOrDefault(frontend, -1);
    }

    /** The rules of form, which need nothing but the plan. */
    static void check(
            String name,
            double soak,
            double margin,
            int answers,
            List<Mover> movers,
            PlanErrors faults) {
        faults.unless(
                !name.isEmpty() && name.length() <= LONGEST,
                -1,
                "plan",
                "a name of 1 to 64 characters");
        faults.unless(soak >= 0 && soak <= 1e9, -1, "soak_ms", "ms from 0 to 1e9");
        faults.unless(margin >= 0 && margin <= 1, -1, "margin", "a part from 0 to 1");
        faults.unless(answers >= 1, -1, "answers", "a whole number from 1");
        faults.unless(
                !movers.isEmpty() && movers.size() <= MOST, -1, "frontends", "1 to 64 of them");
        Map<String, Mover> by = new LinkedHashMap<>();
        for (int i = 0; i < movers.size(); i++) {
            Mover m = movers.get(i);
            faults.unless(
                    m.name.length() <= LONGEST && by.putIfAbsent(m.name, m) == null,
                    i,
                    "name",
                    "each frontend once, not again " + m.name);
            faults.unless(
                    !m.from.equals(m.to) && m.to.length() <= LONGEST && m.from.length() <= LONGEST,
                    i,
                    "to",
                    "another group than " + m.from);
            faults.unless(m.units >= 0 && m.units < 1e12, i, "units", "units a second from 0");
            faults.unless(m.connections >= 0, i, "connections", "a whole number from 0");
            faults.unless(
                    m.held >= 0 && m.held <= 1e9, i, "name", "a repeat window of 1e9 ms at most");
            double before = 0;
            boolean rising = !m.shares.isEmpty() && m.shares.size() <= MOST;
            for (double s : m.shares) {
                rising &= s > before && s <= 1;
                before = s;
            }
            faults.unless(
                    rising, i, "shares", "1 to 64 parts above 0, each higher than the one before");
            faults.unless(m.shares.isEmpty() || before == 1, i, "shares", "1 as the last one");
        }
        for (int i = 0; i < movers.size(); i++) {
            Mover m = movers.get(i);
            for (String need : m.needs) {
                faults.unless(
                        by.containsKey(need), i, "needs", "frontends of this plan, not " + need);
            }
            faults.unless(m.needs.size() <= MOST, i, "needs", "64 at most");
            faults.unless(
                    !reaches(by, m.name, m.name, new HashSet<>()),
                    i,
                    "needs",
                    "no circle, but " + m.name + " needs itself");
            faults.unless(
                    m.begins >= 0 && m.begins <= 1000, i, "begins", "a stage from 1 to 1000, or 0");
        }
        if (faults.none()) {
            order(movers, faults);
        }
    }

    private static void order(List<Mover> movers, PlanErrors faults) {
        int[] earliest = MigrationStages.begins(movers);
        for (int i = 0; i < earliest.length; i++) {
            int begins = movers.get(i).begins;
            faults.unless(
                    begins == 0 || begins > earliest[i],
                    i,
                    "begins",
                    "stage " + (earliest[i] + 1) + " or later: only then what it needs has moved");
        }
    }

    private static boolean reaches(
            Map<String, Mover> by, String from, String aim, Set<String> seen) {
        if (!by.containsKey(from)) {
            return false;
        }
        for (String need : by.get(from).needs) {
            if (need.equals(aim) || seen.add(need) && reaches(by, need, aim, seen)) {
                return true;
            }
        }
        return false;
    }

    void write(DataOutputStream out) throws IOException {
        out.writeUTF(name);
        out.writeDouble(soak);
        out.writeDouble(margin);
        out.writeInt(answers);
        out.writeByte(frontends.size());
        for (Mover m : frontends) {
            out.writeUTF(m.name);
            out.writeUTF(m.from);
            out.writeUTF(m.to);
            out.writeByte(m.needs.size());
            for (String need : m.needs) {
                out.writeUTF(need);
            }
            out.writeInt(m.begins);
            out.writeByte(m.shares.size());
            for (double s : m.shares) {
                out.writeDouble(s);
            }
            out.writeDouble(m.units);
            out.writeInt(m.connections);
            out.writeBoolean(m.uniqued);
            out.writeBoolean(m.told);
            out.writeDouble(m.held);
        }
        out.writeByte(groups.size());
        for (Map.Entry<String, Room> g : groups.entrySet()) {
            out.writeUTF(g.getKey());
            out.writeDouble(g.getValue().units);
            out.writeInt(g.getValue().connections);
            out.writeDouble(g.getValue().coldPart);
        }
    }

    static MigrationPlan read(DataInputStream in) throws IOException {
        String name = in.readUTF();
        double soak = in.readDouble();
        double margin = in.readDouble();
        int answers = in.readInt();
        List<Mover> movers = new ArrayList<>();
        for (int n = in.readUnsignedByte(); n > 0; n--) {
            String frontend = in.readUTF();
            String from = in.readUTF();
            String to = in.readUTF();
            List<String> needs = new ArrayList<>();
            for (int k = in.readUnsignedByte(); k > 0; k--) {
                needs.add(in.readUTF());
            }
            int begins = in.readInt();
            List<Double> shares = new ArrayList<>();
            for (int k = in.readUnsignedByte(); k > 0; k--) {
                shares.add(in.readDouble());
            }
            movers.add(
                    new Mover(
                            frontend,
                            from,
                            to,
                            List.copyOf(needs),
                            begins,
                            List.copyOf(shares),
                            in.readDouble(),
                            in.readInt(),
                            in.readBoolean(),
                            in.readBoolean(),
                            in.readDouble()));
        }
        Map<String, Room> groups = new TreeMap<>();
        for (int n = in.readUnsignedByte(); n > 0; n--) {
            groups.put(in.readUTF(), new Room(in.readDouble(), in.readInt(), in.readDouble()));
        }
        return new MigrationPlan(name, soak, margin, answers, movers, groups);
    }
}
