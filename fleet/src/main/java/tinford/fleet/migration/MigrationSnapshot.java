package tinford.fleet.migration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import tinford.fleet.membership.Incarnation;

/** Binary form of {@link MigrationProgress} in snapshots of the log. */
final class MigrationSnapshot {
    private MigrationSnapshot() {}

    static byte[] encode(MigrationProgress progress) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            writeStep(output, progress);
            writeHomeGroups(output, progress);
            writeAcknowledgements(output, progress);
            writeReports(output, progress);
            writePlan(output, progress);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void writeStep(DataOutputStream output, MigrationProgress progress)
            throws IOException {
        output.writeByte(MigrationEntry.VERSION);
        output.writeByte(progress.state.ordinal());
        output.writeBoolean(progress.reverting);
        output.writeLong(progress.epoch);
        output.writeInt(progress.stepIndex);
        output.writeInt(progress.previousStep);
        output.writeLong(progress.haltCount);
        output.writeDouble(progress.stepStartedMs);
        output.writeDouble(progress.logTimeMs);
    }

    private static void writeHomeGroups(DataOutputStream output, MigrationProgress progress)
            throws IOException {
        output.writeInt(progress.homeGroups.size());
        for (Map.Entry<String, String> home : progress.homeGroups.entrySet()) {
            output.writeUTF(home.getKey());
            output.writeUTF(home.getValue());
        }
    }

    private static void writeAcknowledgements(DataOutputStream output, MigrationProgress progress)
            throws IOException {
        output.writeInt(progress.acknowledgements.size());
        for (Map.Entry<Incarnation, Double> entry : progress.acknowledgements.entrySet()) {
            writeIncarnation(output, entry.getKey());
            output.writeDouble(entry.getValue());
        }
    }

    private static void writeReports(DataOutputStream output, MigrationProgress progress)
            throws IOException {
        output.writeInt(progress.reports.size());
        for (Map.Entry<Incarnation, long[]> report : progress.reports.entrySet()) {
            writeIncarnation(output, report.getKey());
            output.writeInt(report.getValue().length);
            for (long count : report.getValue()) {
                output.writeLong(count);
            }
        }
    }

    private static void writePlan(DataOutputStream output, MigrationProgress progress)
            throws IOException {
        output.writeBoolean(progress.plan != null);
        if (progress.plan != null) {
            MigrationPlanCodec.write(output, progress.plan);
            for (double share : progress.baselineFailureShares) {
                output.writeDouble(share);
            }
        }
    }

    private static void writeIncarnation(DataOutputStream output, Incarnation incarnation)
            throws IOException {
        output.writeInt(incarnation.gateway());
        output.writeLong(incarnation.start());
    }

    /**
     * Replaces the data by that of a snapshot.
     *
     * @throws IllegalArgumentException if the snapshot is of another format version
     * @throws UncheckedIOException if the snapshot is truncated
     */
    static void restore(MigrationProgress progress, byte[] snapshot) {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(snapshot))) {
            readStep(input, progress);
            readHomeGroups(input, progress);
            readAcknowledgements(input, progress);
            readReports(input, progress);
            readPlan(input, progress);
        } catch (IOException e) {
            throw new UncheckedIOException("migration snapshot: truncated or malformed", e);
        }
    }

    private static void readStep(DataInputStream input, MigrationProgress progress)
            throws IOException {
        int version = input.readByte();
        if (version != MigrationEntry.VERSION) {
            throw new IllegalArgumentException(
                    "migration snapshot: format version: expected "
                            + MigrationEntry.VERSION
                            + ", got "
                            + version);
        }
        progress.state = MigrationState.State.values()[input.readByte()];
        progress.reverting = input.readBoolean();
        progress.epoch = input.readLong();
        progress.stepIndex = input.readInt();
        progress.previousStep = input.readInt();
        progress.haltCount = input.readLong();
        progress.stepStartedMs = input.readDouble();
        progress.logTimeMs = input.readDouble();
    }

    private static void readHomeGroups(DataInputStream input, MigrationProgress progress)
            throws IOException {
        progress.homeGroups.clear();
        for (int remaining = input.readInt(); remaining > 0; remaining--) {
            progress.homeGroups.put(input.readUTF(), input.readUTF());
        }
    }

    private static void readAcknowledgements(DataInputStream input, MigrationProgress progress)
            throws IOException {
        progress.acknowledgements.clear();
        for (int remaining = input.readInt(); remaining > 0; remaining--) {
            progress.acknowledgements.put(readIncarnation(input), input.readDouble());
        }
    }

    private static void readReports(DataInputStream input, MigrationProgress progress)
            throws IOException {
        progress.reports.clear();
        for (int remaining = input.readInt(); remaining > 0; remaining--) {
            Incarnation incarnation = readIncarnation(input);
            long[] counts = new long[input.readInt()];
            for (int i = 0; i < counts.length; i++) {
                counts[i] = input.readLong();
            }
            progress.reports.put(incarnation, counts);
        }
    }

    private static void readPlan(DataInputStream input, MigrationProgress progress)
            throws IOException {
        progress.plan = input.readBoolean() ? MigrationPlanCodec.read(input) : null;
        int frontends = progress.plan == null ? 0 : progress.plan.frontends.size();
        progress.baselineFailureShares = new double[frontends];
        for (int i = 0; i < frontends; i++) {
            progress.baselineFailureShares[i] = input.readDouble();
        }
    }

    private static Incarnation readIncarnation(DataInputStream input) throws IOException {
        return new Incarnation(input.readInt(), input.readLong());
    }
}
