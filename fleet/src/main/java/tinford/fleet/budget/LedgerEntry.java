package tinford.fleet.budget;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tinford.fleet.membership.Incarnation;

/**
 * An entry of the log about budgets. The encoded form is the kind, the format version, and the
 * body. Time stamps are of the proposer's clock, in Unix ms.
 */
public sealed interface LedgerEntry {
    byte DEMAND_REPORT = 16;
    byte GRANT = 17;
    byte CAPACITY_OFFER = 18;
    byte FORMAT_VERSION = 1;

    /** The highest count in an entry. */
    int MAX_COUNT = 1 << 24;

    /** Encodes the entry for the log. */
    byte[] encode();

    /** An entry of an unknown kind or format version. */
    final class UnknownEntryException extends Exception {
        private static final long serialVersionUID = 1L;

        UnknownEntryException() {
            super("entry of an unknown kind or format version", null, false, false);
        }
    }

    /**
     * An incarnation reports its demand and the connections that it holds.
     *
     * @param lastReadIndex index of the last entry that it had applied
     * @param demands attempts that it wants in flight, by account, where that changed; 0 for none
     * @param heldConnections connections that it holds beyond its static share, by server number,
     *     where a grant was reduced
     */
    record DemandReport(
            Incarnation incarnation,
            double timestampMs,
            long lastReadIndex,
            Map<Long, Integer> demands,
            Map<Integer, Integer> heldConnections)
            implements LedgerEntry {
        @Override
        public byte[] encode() {
            return write(DEMAND_REPORT, this::writeBody);
        }

        private void writeBody(DataOutputStream output) throws IOException {
            VarInts.write(output, incarnation);
            output.writeDouble(timestampMs);
            VarInts.write(output, lastReadIndex);
            VarInts.write(output, demands.size());
            for (Map.Entry<Long, Integer> demand : demands.entrySet()) {
                VarInts.write(output, demand.getKey());
                VarInts.write(output, demand.getValue());
            }
            VarInts.write(output, heldConnections.size());
            for (Map.Entry<Integer, Integer> held : heldConnections.entrySet()) {
                VarInts.write(output, held.getKey());
                VarInts.write(output, held.getValue());
            }
        }

        private static DemandReport readBody(DataInputStream input) throws IOException {
            Incarnation incarnation = VarInts.readIncarnation(input);
            double timestampMs = readTimestamp(input);
            long lastReadIndex = VarInts.read(input);
            Map<Long, Integer> demands = new LinkedHashMap<>();
            int accounts = VarInts.readCount(input, BudgetLedger.MAX_ACCOUNTS);
            for (int i = 0; i < accounts; i++) {
                demands.put(VarInts.read(input), VarInts.readCount(input, MAX_COUNT));
            }
            Map<Integer, Integer> held = new LinkedHashMap<>();
            int servers = VarInts.readCount(input, BudgetLedger.MAX_SERVERS);
            for (int i = 0; i < servers; i++) {
                held.put(
                        VarInts.readCount(input, BudgetLedger.MAX_SERVERS),
                        VarInts.readCount(input, MAX_COUNT));
            }
            return new DemandReport(incarnation, timestampMs, lastReadIndex, demands, held);
        }
    }

    /**
     * The capacity that a server offers the fleet from now on.
     *
     * @param start of the server; a later start is another server at the same address. The grants
     *     remain, as their holders may open connections to it
     * @param capacity in connections, including the static part
     */
    record CapacityOffer(String server, long start, int capacity, double timestampMs)
            implements LedgerEntry {
        @Override
        public byte[] encode() {
            return write(CAPACITY_OFFER, this::writeBody);
        }

        private void writeBody(DataOutputStream output) throws IOException {
            output.writeUTF(server);
            VarInts.write(output, start);
            VarInts.write(output, capacity);
            output.writeDouble(timestampMs);
        }

        private static CapacityOffer readBody(DataInputStream input) throws IOException {
            String server = input.readUTF();
            long start = VarInts.read(input);
            int capacity = VarInts.readCount(input, MAX_COUNT);
            return new CapacityOffer(server, start, capacity, readTimestamp(input));
        }
    }

    /**
     * One line of a grant: what the incarnation is granted from now on.
     *
     * @param target the number of a server, or an account
     * @param connections at the server, or attempts of the account that may be in flight
     */
    record GrantLine(Incarnation incarnation, long target, int connections) {}

    /**
     * The leader's changes of grants. Lines that reduce a grant come first.
     *
     * @param basisIndex index of the last entry that the proposal is based on; the ledger ignores
     *     the proposal if another grant follows that entry
     */
    record Grant(
            long basisIndex,
            double timestampMs,
            List<GrantLine> serverLines,
            List<GrantLine> accountLines)
            implements LedgerEntry {
        @Override
        public byte[] encode() {
            return write(GRANT, this::writeBody);
        }

        private void writeBody(DataOutputStream output) throws IOException {
            VarInts.write(output, basisIndex);
            output.writeDouble(timestampMs);
            writeLines(output, serverLines);
            writeLines(output, accountLines);
        }

        private static Grant readBody(DataInputStream input) throws IOException {
            long basisIndex = VarInts.read(input);
            double timestampMs = readTimestamp(input);
            return new Grant(basisIndex, timestampMs, readLines(input), readLines(input));
        }

        private static void writeLines(DataOutputStream output, List<GrantLine> lines)
                throws IOException {
            VarInts.write(output, lines.size());
            for (GrantLine line : lines) {
                VarInts.write(output, line.incarnation);
                VarInts.write(output, line.target);
                VarInts.write(output, line.connections);
            }
        }

        private static List<GrantLine> readLines(DataInputStream input) throws IOException {
            List<GrantLine> lines = new ArrayList<>();
            int count = VarInts.readCount(input, MAX_COUNT);
            for (int i = 0; i < count; i++) {
                Incarnation incarnation = VarInts.readIncarnation(input);
                long target = VarInts.read(input);
                int connections = VarInts.readCount(input, MAX_COUNT);
                lines.add(new GrantLine(incarnation, target, connections));
            }
            return lines;
        }
    }

    /**
     * Decodes an entry of the log.
     *
     * @throws UnknownEntryException if its kind or format version is unknown
     * @throws IOException if it is truncated or a value is out of range
     */
    static LedgerEntry decode(byte[] entry) throws UnknownEntryException, IOException {
        if (entry.length < 2
                || entry[0] < DEMAND_REPORT
                || entry[0] > CAPACITY_OFFER
                || entry[1] != FORMAT_VERSION) {
            throw new UnknownEntryException();
        }
        DataInputStream input =
                new DataInputStream(new ByteArrayInputStream(entry, 2, entry.length - 2));
        return switch (entry[0]) {
            case DEMAND_REPORT -> DemandReport.readBody(input);
            case GRANT -> Grant.readBody(input);
            default -> CapacityOffer.readBody(input);
        };
    }

    /** Writes the body of an entry. */
    interface BodyWriter {
        void write(DataOutputStream output) throws IOException;
    }

    /** Returns the bytes of a kind, the format version, and a body. */
    static byte[] write(byte kind, BodyWriter body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeByte(kind);
            output.writeByte(FORMAT_VERSION);
            body.write(output);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static double readTimestamp(DataInputStream input) throws IOException {
        double timestampMs = input.readDouble();
        if (!(timestampMs >= 0 && timestampMs < Double.POSITIVE_INFINITY)) {
            throw new IOException("timestamp: expected ms from 0, got " + timestampMs);
        }
        return timestampMs;
    }
}
