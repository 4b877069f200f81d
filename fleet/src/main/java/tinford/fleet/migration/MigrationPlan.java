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
 * A checked plan of moves. What it holds obeys the rules of its form; at most {@link #MAX_ITEMS}
 * frontends of as many shares each.
 */
public final class MigrationPlan {
    public static final int MAX_ITEMS = 64;
    private static final int MAX_NAME_LENGTH = 64;

    /**
     * How one frontend moves.
     *
     * @param shares of its customers, rising, the last one 1
     * @param unitsPerSecond a second that it may need, all of it
     * @param firstStage the stage in which it begins, from 1; 0 for as soon as what it needs has
     *     moved
     * @param marksRetries whether its clients say which requests are retries
     * @param deduplicationMs ms in which a request that may have run may still run, or its repeat
     *     would still be dropped; 0 unless uniqued
     */
    public record FrontendMigration(
            String name,
            String sourceGroup,
            String targetGroup,
            List<String> dependencies,
            int firstStage,
            List<Double> shares,
            double unitsPerSecond,
            int connections,
            boolean idempotencyKeyed,
            boolean marksRetries,
            double deduplicationMs) {}

    /**
     * What a group can take in addition to what stays there: units a second when warm, the part of
     * them when cold, connections.
     */
    public record GroupCapacity(double unitsPerSecond, int connections, double coldShare) {}

    /**
     * What a plan is held against: the frontends that may move, where each one lives, and the
     * groups.
     */
    public record ValidationContext(
            Map<String, RequestClass> frontends,
            Map<String, String> homeGroups,
            Map<String, GroupCapacity> groups) {}

    public final String name;
    public final double soakMs;

    /**
     * How much higher the share of failed and late answers may be at the new group, and from how
     * many answers on it counts.
     */
    public final double failureMargin;

    public final int minAnswers;
    public final List<FrontendMigration> frontends;

    /** The groups that frontends go to, by name. */
    public final TreeMap<String, GroupCapacity> groups;

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
            List<FrontendMigration> frontends,
            Map<String, GroupCapacity> groups) {
        this.name = name;
        this.soakMs = soak;
        this.failureMargin = margin;
        this.minAnswers = answers;
        this.frontends = List.copyOf(frontends);
        this.groups = new TreeMap<>(groups);
        PlanErrors faults = new PlanErrors("plan", "");
        check(name, soak, margin, answers, frontends, faults);
        faults.throwIfAny();
        for (int i = 0; i < frontends.size(); i++) {
            index.put(frontends.get(i).name, i);
        }
        steps = MigrationStages.of(this);
    }

    public int indexOf(String frontend) {
        return index.getOrDefault(frontend, -1);
    }

    /** The rules of form, which need nothing but the plan. */
    static void check(
            String name,
            double soak,
            double margin,
            int answers,
            List<FrontendMigration> movers,
            PlanErrors faults) {
        faults.require(
                !name.isEmpty() && name.length() <= MAX_NAME_LENGTH,
                -1,
                "plan",
                "a name of 1 to 64 characters");
        faults.require(soak >= 0 && soak <= 1e9, -1, "soak_ms", "ms from 0 to 1e9");
        faults.require(margin >= 0 && margin <= 1, -1, "margin", "a part from 0 to 1");
        faults.require(answers >= 1, -1, "answers", "a whole number from 1");
        faults.require(
                !movers.isEmpty() && movers.size() <= MAX_ITEMS,
                -1,
                "frontends",
                "1 to 64 of them");
        Map<String, FrontendMigration> by = new LinkedHashMap<>();
        for (int i = 0; i < movers.size(); i++) {
            FrontendMigration m = movers.get(i);
            faults.require(
                    m.name.length() <= MAX_NAME_LENGTH && by.putIfAbsent(m.name, m) == null,
                    i,
                    "name",
                    "each frontend once, not again " + m.name);
            faults.require(
                    !m.sourceGroup.equals(m.targetGroup)
                            && m.targetGroup.length() <= MAX_NAME_LENGTH
                            && m.sourceGroup.length() <= MAX_NAME_LENGTH,
                    i,
                    "to",
                    "another group than " + m.sourceGroup);
            faults.require(
                    m.unitsPerSecond >= 0 && m.unitsPerSecond < 1e12,
                    i,
                    "units",
                    "units a second from 0");
            faults.require(m.connections >= 0, i, "connections", "a whole number from 0");
            faults.require(
                    m.deduplicationMs >= 0 && m.deduplicationMs <= 1e9,
                    i,
                    "name",
                    "a repeat window of 1e9 ms at most");
            double before = 0;
            boolean rising = !m.shares.isEmpty() && m.shares.size() <= MAX_ITEMS;
            for (double s : m.shares) {
                rising &= s > before && s <= 1;
                before = s;
            }
            faults.require(
                    rising, i, "shares", "1 to 64 parts above 0, each higher than the one before");
            faults.require(m.shares.isEmpty() || before == 1, i, "shares", "1 as the last one");
        }
        for (int i = 0; i < movers.size(); i++) {
            FrontendMigration m = movers.get(i);
            for (String need : m.dependencies) {
                faults.require(
                        by.containsKey(need), i, "needs", "frontends of this plan, not " + need);
            }
            faults.require(m.dependencies.size() <= MAX_ITEMS, i, "needs", "64 at most");
            faults.require(
                    !reaches(by, m.name, m.name, new HashSet<>()),
                    i,
                    "needs",
                    "no circle, but " + m.name + " needs itself");
            faults.require(
                    m.firstStage >= 0 && m.firstStage <= 1000,
                    i,
                    "begins",
                    "a stage from 1 to 1000, or 0");
        }
        if (faults.isEmpty()) {
            order(movers, faults);
        }
    }

    private static void order(List<FrontendMigration> movers, PlanErrors faults) {
        int[] earliest = MigrationStages.earliestStarts(movers);
        for (int i = 0; i < earliest.length; i++) {
            int begins = movers.get(i).firstStage;
            faults.require(
                    begins == 0 || begins > earliest[i],
                    i,
                    "begins",
                    "stage " + (earliest[i] + 1) + " or later: only then what it needs has moved");
        }
    }

    private static boolean reaches(
            Map<String, FrontendMigration> by, String from, String aim, Set<String> seen) {
        if (!by.containsKey(from)) {
            return false;
        }
        for (String need : by.get(from).dependencies) {
            if (need.equals(aim) || seen.add(need) && reaches(by, need, aim, seen)) {
                return true;
            }
        }
        return false;
    }

    void write(DataOutputStream out) throws IOException {
        out.writeUTF(name);
        out.writeDouble(soakMs);
        out.writeDouble(failureMargin);
        out.writeInt(minAnswers);
        out.writeByte(frontends.size());
        for (FrontendMigration m : frontends) {
            out.writeUTF(m.name);
            out.writeUTF(m.sourceGroup);
            out.writeUTF(m.targetGroup);
            out.writeByte(m.dependencies.size());
            for (String need : m.dependencies) {
                out.writeUTF(need);
            }
            out.writeInt(m.firstStage);
            out.writeByte(m.shares.size());
            for (double s : m.shares) {
                out.writeDouble(s);
            }
            out.writeDouble(m.unitsPerSecond);
            out.writeInt(m.connections);
            out.writeBoolean(m.idempotencyKeyed);
            out.writeBoolean(m.marksRetries);
            out.writeDouble(m.deduplicationMs);
        }
        out.writeByte(groups.size());
        for (Map.Entry<String, GroupCapacity> g : groups.entrySet()) {
            out.writeUTF(g.getKey());
            out.writeDouble(g.getValue().unitsPerSecond);
            out.writeInt(g.getValue().connections);
            out.writeDouble(g.getValue().coldShare);
        }
    }

    static MigrationPlan read(DataInputStream in) throws IOException {
        String name = in.readUTF();
        double soak = in.readDouble();
        double margin = in.readDouble();
        int answers = in.readInt();
        List<FrontendMigration> movers = new ArrayList<>();
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
                    new FrontendMigration(
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
        Map<String, GroupCapacity> groups = new TreeMap<>();
        for (int n = in.readUnsignedByte(); n > 0; n--) {
            groups.put(
                    in.readUTF(),
                    new GroupCapacity(in.readDouble(), in.readInt(), in.readDouble()));
        }
        return new MigrationPlan(name, soak, margin, answers, movers, groups);
    }
}
