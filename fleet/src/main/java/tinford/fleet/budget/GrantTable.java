package tinford.fleet.budget;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import tinford.fleet.membership.Incarnation;

/**
 * The state of the {@link BudgetLedger}: servers with their offers, and who holds what at each.
 * Keeps the sum a server; decides nothing.
 */
final class GrantTable {
    /** What one incarnation has at one server. */
    static final class Cell {
        int granted;

        /** At least what is granted: what it may still hold of earlier grants. */
        int may;

        /** Index of the last entry that made it less. */
        long shrunk;

        /** The log's time from which the holder surely has no more than is granted. */
        double free;

        /** Index of the last entry that granted. */
        long fencingToken;
    }

    /** A server; its number is its place in {@link #servers}. */
    static final class Server {
        final String name;
        long start;
        int offer;

        /** All cells' {@code may} together. */
        int held;

        Server(String name) {
            this.name = name;
        }
    }

    /** All of one incarnation. */
    static final class Holder {
        final TreeMap<Integer, Cell> cells = new TreeMap<>();
        final TreeMap<Long, Integer> asked = new TreeMap<>();
        final TreeMap<Long, Integer> uses = new TreeMap<>();
        double told;
    }

    final List<Server> servers = new ArrayList<>();
    final TreeMap<Incarnation, Holder> holders = new TreeMap<>();
    private final Map<String, Integer> numbers = new LinkedHashMap<>();

    /** The number of a server, or -1. */
    int number(String server) {
        return numbers.getOrDefault(server, -1);
    }

    /** A server that is not there yet. */
    Server add(String name) {
        Server server = new Server(name);
        numbers.put(name, servers.size());
        servers.add(server);
        return server;
    }

    /** The cell of an incarnation at a server, or null. */
    Cell cell(Incarnation incarnation, int server) {
        Holder holder = holders.get(incarnation);
        return holder == null ? null : holder.cells.get(server);
    }

    void setMay(int server, Cell cell, int may) {
        servers.get(server).held += may - cell.may;
        cell.may = may;
    }

    /** Takes out the holders of which nothing can be open. */
    void removeHolders(Predicate<Incarnation> gone) {
        for (Iterator<Map.Entry<Incarnation, Holder>> all = holders.entrySet().iterator();
                all.hasNext(); ) {
            Map.Entry<Incarnation, Holder> holder = all.next();
            if (gone.test(holder.getKey())) {
                holder.getValue().cells.forEach((server, cell) -> setMay(server, cell, 0));
                all.remove();
            }
        }
    }

    /**
     * What was taken back counts as let go where its time has come.
     *
     * @return the earliest time at which more will be
     */
    double release(double now) {
        double next = Double.POSITIVE_INFINITY;
        for (Holder holder : holders.values()) {
            for (Map.Entry<Integer, Cell> at : holder.cells.entrySet()) {
                Cell cell = at.getValue();
                if (cell.may > cell.granted && now >= cell.free) {
                    setMay(at.getKey(), cell, cell.granted);
                } else if (cell.may > cell.granted) {
                    next = Math.min(next, cell.free);
                }
            }
            holder.cells.values().removeIf(cell -> cell.may == 0);
        }
        return next;
    }

    /** Part of a snapshot. */
    void write(DataOutputStream out) throws IOException {
        VarInts.put(out, servers.size());
        for (Server server : servers) {
            out.writeUTF(server.name);
            VarInts.put(out, server.start);
            VarInts.put(out, server.offer);
        }
        VarInts.put(out, holders.size());
        for (Map.Entry<Incarnation, Holder> holder : holders.entrySet()) {
            VarInts.put(out, holder.getKey());
            write(out, holder.getValue());
        }
    }

    private static void write(DataOutputStream out, Holder holder) throws IOException {
        out.writeDouble(holder.told);
        // Cells with nothing go at a time that a snapshot does not carry: they are left out, so
        // that all members' are the same.
        List<Map.Entry<Integer, Cell>> cells =
                holder.cells.entrySet().stream().filter(at -> at.getValue().may > 0).toList();
        VarInts.put(out, cells.size());
        for (Map.Entry<Integer, Cell> at : cells) {
            Cell cell = at.getValue();
            VarInts.put(out, at.getKey());
            VarInts.put(out, cell.granted);
            VarInts.put(out, cell.may);
            VarInts.put(out, cell.shrunk);
            out.writeDouble(cell.free);
            VarInts.put(out, cell.fencingToken);
        }
        writeCounts(out, holder.asked);
        writeCounts(out, holder.uses);
    }

    private static void writeCounts(DataOutputStream out, Map<Long, Integer> counts)
            throws IOException {
        VarInts.put(out, counts.size());
        for (Map.Entry<Long, Integer> account : counts.entrySet()) {
            VarInts.put(out, account.getKey());
            VarInts.put(out, account.getValue());
        }
    }

    /** In place of all that it holds. */
    void read(DataInputStream in) throws IOException {
        servers.clear();
        numbers.clear();
        for (int n = VarInts.count(in, BudgetLedger.MAX_SERVERS); n > 0; n--) {
            Server server = add(in.readUTF());
            server.start = VarInts.take(in);
            server.offer = VarInts.count(in, LedgerEntry.MAX_COUNT);
        }
        holders.clear();
        for (int n = VarInts.count(in, LedgerEntry.MAX_COUNT); n > 0; n--) {
            holders.put(VarInts.incarnation(in), readHolder(in));
        }
    }

    private Holder readHolder(DataInputStream in) throws IOException {
        Holder holder = new Holder();
        holder.told = in.readDouble();
        for (int n = VarInts.count(in, BudgetLedger.MAX_SERVERS); n > 0; n--) {
            int server = VarInts.count(in, servers.size() - 1);
            Cell cell = new Cell();
            cell.granted = VarInts.count(in, LedgerEntry.MAX_COUNT);
            setMay(server, cell, VarInts.count(in, LedgerEntry.MAX_COUNT));
            cell.shrunk = VarInts.take(in);
            cell.free = in.readDouble();
            cell.fencingToken = VarInts.take(in);
            holder.cells.put(server, cell);
        }
        readCounts(in, holder.asked);
        readCounts(in, holder.uses);
        return holder;
    }

    private static void readCounts(DataInputStream in, Map<Long, Integer> counts)
            throws IOException {
        for (int n = VarInts.count(in, BudgetLedger.MAX_ACCOUNTS); n > 0; n--) {
            counts.put(VarInts.take(in), VarInts.count(in, LedgerEntry.MAX_COUNT));
        }
    }
}
