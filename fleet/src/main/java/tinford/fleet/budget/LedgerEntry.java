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

/** An entry of the log about budgets: a kind, a form, and the body. */
public sealed interface LedgerEntry {
    byte TELL = 16;
    byte GRANT = 17;
    byte OFFER = 18;
    byte FORM = 1;

    /** No count is higher. */
    int MAX_COUNT = 1 << 24;

    /** As it goes into the log. */
    byte[] encode();

    /** An entry of a kind or form that is not known here. */
    final class UnknownEntryException extends Exception {
        private static final long serialVersionUID = 1L;

        UnknownEntryException() {
            super("an entry of another kind or form", null, false, false);
        }
    }

    /**
     * Entry of one incarnation.
     *
     * @param seen the last index that it had read
     * @param wanted what it wants by account where that changed; 0 for nothing more
     * @param held what it holds beyond its static share at servers where it was granted more before
     */
    record DemandReport(
            Incarnation incarnation,
            double at,
            long seen,
            Map<Long, Integer> wanted,
            Map<Integer, Integer> held)
            implements LedgerEntry {
        @Override
        public byte[] encode() {
            return write(
                    TELL,
                    out -> {
                        VarInts.put(out, incarnation);
                        out.writeDouble(at);
                        VarInts.put(out, seen);
                        VarInts.put(out, wanted.size());
                        for (Map.Entry<Long, Integer> account : wanted.entrySet()) {
                            VarInts.put(out, account.getKey());
                            VarInts.put(out, account.getValue());
                        }
                        VarInts.put(out, held.size());
                        for (Map.Entry<Integer, Integer> server : held.entrySet()) {
                            VarInts.put(out, server.getKey());
                            VarInts.put(out, server.getValue());
                        }
                    });
        }

        private static DemandReport read(DataInputStream in) throws IOException {
            Incarnation incarnation = VarInts.incarnation(in);
            double at = time(in);
            long seen = VarInts.take(in);
            Map<Long, Integer> wanted = new LinkedHashMap<>();
            for (int n = VarInts.count(in, BudgetLedger.MAX_ACCOUNTS); n > 0; n--) {
                wanted.put(VarInts.take(in), VarInts.count(in, MAX_COUNT));
            }
            Map<Integer, Integer> held = new LinkedHashMap<>();
            for (int n = VarInts.count(in, BudgetLedger.MAX_SERVERS); n > 0; n--) {
                held.put(VarInts.count(in, BudgetLedger.MAX_SERVERS), VarInts.count(in, MAX_COUNT));
            }
            return new DemandReport(incarnation, at, seen, wanted, held);
        }
    }

    /**
     * Entry: what a server offers the fleet from now on.
     *
     * @param start a later one is another server under the same address: what was granted stays
     *     granted, as a holder may open it there
     */
    record CapacityOffer(String server, long start, int offer, double at) implements LedgerEntry {
        @Override
        public byte[] encode() {
            return write(
                    OFFER,
                    out -> {
                        out.writeUTF(server);
                        VarInts.put(out, start);
                        VarInts.put(out, offer);
                        out.writeDouble(at);
                    });
        }

        private static CapacityOffer read(DataInputStream in) throws IOException {
            String server = in.readUTF();
            long start = VarInts.take(in);
            int offer = VarInts.count(in, MAX_COUNT);
            return new CapacityOffer(server, start, offer, time(in));
        }
    }

    /**
     * One line of a grant: from now on the incarnation has that many, at a server or for an
     * account.
     *
     * @param what the number of the server, or the account
     */
    record GrantLine(Incarnation incarnation, long what, int count) {}

    /**
     * Entry of whoever leads. Lines that make less come first.
     *
     * @param basis last index that the proposal knew; it is void where another grant came since
     */
    record Grant(long basis, double at, List<GrantLine> atServers, List<GrantLine> forAccounts)
            implements LedgerEntry {
        @Override
        public byte[] encode() {
            return write(
                    GRANT,
                    out -> {
                        VarInts.put(out, basis);
                        out.writeDouble(at);
                        writeLines(out, atServers);
                        writeLines(out, forAccounts);
                    });
        }

        private static Grant read(DataInputStream in) throws IOException {
            long basis = VarInts.take(in);
            double at = time(in);
            return new Grant(basis, at, readLines(in), readLines(in));
        }

        private static void writeLines(DataOutputStream out, List<GrantLine> lines)
                throws IOException {
            VarInts.put(out, lines.size());
            for (GrantLine line : lines) {
                VarInts.put(out, line.incarnation);
                VarInts.put(out, line.what);
                VarInts.put(out, line.count);
            }
        }

        private static List<GrantLine> readLines(DataInputStream in) throws IOException {
            List<GrantLine> lines = new ArrayList<>();
            for (int n = VarInts.count(in, MAX_COUNT); n > 0; n--) {
                Incarnation incarnation = VarInts.incarnation(in);
                long what = VarInts.take(in);
                lines.add(new GrantLine(incarnation, what, VarInts.count(in, MAX_COUNT)));
            }
            return lines;
        }
    }

    /**
     * @throws Unknown where it is of a kind or form that is not known here
     * @throws IOException where it can't be read to its end
     */
    static LedgerEntry decode(byte[] entry) throws UnknownEntryException, IOException {
        if (entry.length < 2 || entry[0] < TELL || entry[0] > OFFER || entry[1] != FORM) {
            throw new UnknownEntryException();
        }
        DataInputStream in =
                new DataInputStream(new ByteArrayInputStream(entry, 2, entry.length - 2));
        return switch (entry[0]) {
            case TELL -> DemandReport.read(in);
            case GRANT -> Grant.read(in);
            default -> CapacityOffer.read(in);
        };
    }

    /** Writes the body of an entry. */
    interface Body {
        void write(DataOutputStream out) throws IOException;
    }

    /** The kind, the form, and the body. */
    static byte[] write(byte kind, Body body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        try {
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(kind);
            out.writeByte(FORM);
            body.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static double time(DataInputStream in) throws IOException {
        double at = in.readDouble();
        if (!(at >= 0 && at < Double.POSITIVE_INFINITY)) {
            throw new IOException("a time: " + at + ", expected ms from 0");
        }
        return at;
    }
}
