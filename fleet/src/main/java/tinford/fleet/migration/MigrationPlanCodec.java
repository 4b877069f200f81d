package tinford.fleet.migration;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Binary form of a plan in entries and snapshots of the log. */
final class MigrationPlanCodec {
    private MigrationPlanCodec() {}

    static void write(DataOutputStream output, MigrationPlan plan) throws IOException {
        output.writeUTF(plan.name);
        output.writeDouble(plan.soakMs);
        output.writeDouble(plan.failureMargin);
        output.writeInt(plan.minAnswers);
        output.writeByte(plan.frontends.size());
        for (MigrationPlan.FrontendMigration frontend : plan.frontends) {
            write(output, frontend);
        }
        output.writeByte(plan.groups.size());
        for (Map.Entry<String, MigrationPlan.GroupCapacity> group : plan.groups.entrySet()) {
            output.writeUTF(group.getKey());
            output.writeDouble(group.getValue().unitsPerSecond());
            output.writeInt(group.getValue().connections());
            output.writeDouble(group.getValue().coldShare());
        }
    }

    private static void write(DataOutputStream output, MigrationPlan.FrontendMigration frontend)
            throws IOException {
        output.writeUTF(frontend.name());
        output.writeUTF(frontend.sourceGroup());
        output.writeUTF(frontend.targetGroup());
        output.writeByte(frontend.dependencies().size());
        for (String dependency : frontend.dependencies()) {
            output.writeUTF(dependency);
        }
        output.writeInt(frontend.firstStage());
        output.writeByte(frontend.shares().size());
        for (double share : frontend.shares()) {
            output.writeDouble(share);
        }
        output.writeDouble(frontend.unitsPerSecond());
        output.writeInt(frontend.connections());
        output.writeBoolean(frontend.idempotencyKeyed());
        output.writeBoolean(frontend.marksRetries());
        output.writeDouble(frontend.deduplicationMs());
    }

    /**
     * @throws IOException if the plan is truncated
     * @throws PlanErrors.InvalidPlanException if it breaks a rule of {@link MigrationPlanRules}
     */
    static MigrationPlan read(DataInputStream input) throws IOException {
        String name = input.readUTF();
        double soakMs = input.readDouble();
        double failureMargin = input.readDouble();
        int minAnswers = input.readInt();
        List<MigrationPlan.FrontendMigration> frontends = new ArrayList<>();
        for (int remaining = input.readUnsignedByte(); remaining > 0; remaining--) {
            frontends.add(readFrontend(input));
        }
        Map<String, MigrationPlan.GroupCapacity> groups = new TreeMap<>();
        for (int remaining = input.readUnsignedByte(); remaining > 0; remaining--) {
            groups.put(
                    input.readUTF(),
                    new MigrationPlan.GroupCapacity(
                            input.readDouble(), input.readInt(), input.readDouble()));
        }
        return new MigrationPlan(name, soakMs, failureMargin, minAnswers, frontends, groups);
    }

    private static MigrationPlan.FrontendMigration readFrontend(DataInputStream input)
            throws IOException {
        String name = input.readUTF();
        String sourceGroup = input.readUTF();
        String targetGroup = input.readUTF();
        List<String> dependencies = new ArrayList<>();
        for (int remaining = input.readUnsignedByte(); remaining > 0; remaining--) {
            dependencies.add(input.readUTF());
        }
        int firstStage = input.readInt();
        List<Double> shares = new ArrayList<>();
        for (int remaining = input.readUnsignedByte(); remaining > 0; remaining--) {
            shares.add(input.readDouble());
        }
        return new MigrationPlan.FrontendMigration(
                name,
                sourceGroup,
                targetGroup,
                List.copyOf(dependencies),
                firstStage,
                List.copyOf(shares),
                input.readDouble(),
                input.readInt(),
                input.readBoolean(),
                input.readBoolean(),
                input.readDouble());
    }
}
