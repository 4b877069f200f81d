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
 * Data of the {@link BudgetLedger}: servers with their capacities, and what each incarnation
 * demands, was granted and may hold. Keeps the sum of what may be held for each server. Contains no
 * rules.
 */
final class GrantTable {
    /** What one incarnation was granted and may hold at one server, in connections. */
    static final class ServerGrant {
        int granted;

        /** What it may still hold, by earlier grants too; at least what is granted. */
        int maxHeld;

        /** Index of the last entry that reduced the grant. */
        long reducedIndex;

        /** The log's time from which the holder is certain to hold no more than is granted. */
        double releaseMs;

        /** Index of the last entry that changed the grant. */
        long fencingToken;
    }

    /** A server; its number is its index in {@link #servers}. */
    static final class Server {
        final String name;

        /** Start of the server whose capacity is known; a later one replaces it. */
        long start;

        int capacity;

        /** Sum of {@code maxHeld} over all incarnations. */
        int maxHeld;

        Server(String name) {
            this.name = name;
        }
    }

    /** What one incarnation demands, was granted and may hold. */
    static final class Holder {
        /** By server number. */
        final TreeMap<Integer, ServerGrant> serverGrants = new TreeMap<>();

        /** Attempts that it wants in flight, by account. */
        final TreeMap<Long, Integer> demands = new TreeMap<>();

        /** Attempts that may be in flight, by account. */
        final TreeMap<Long, Integer> accountGrants = new TreeMap<>();

        /** Time stamp of its last demand report. */
        double reportedMs;
    }

    final List<Server> servers = new ArrayList<>();
    final TreeMap<Incarnation, Holder> holders = new TreeMap<>();
    private final Map<String, Integer> numbers = new LinkedHashMap<>();

    /** The number of a server, or -1 if it is unknown. */
    int serverNumber(String server) {
        return numbers.getOrDefault(server, -1);
    }

    /** Adds a server that is not in the table yet. */
    Server addServer(String name) {
        Server server = new Server(name);
        numbers.put(name, servers.size());
        servers.add(server);
        return server;
    }

    /** The grant of an incarnation at a server, or null. */
    ServerGrant serverGrant(Incarnation incarnation, int server) {
        Holder holder = holders.get(incarnation);
        return holder == null ? null : holder.serverGrants.get(server);
    }

    void setMaxHeld(int server, ServerGrant grant, int maxHeld) {
        servers.get(server).maxHeld += maxHeld - grant.maxHeld;
        grant.maxHeld = maxHeld;
    }

    /** Removes the incarnations of which no connection can still be open. */
    void removeHolders(Predicate<Incarnation> isReleased) {
        for (Iterator<Map.Entry<Incarnation, Holder>> iterator = holders.entrySet().iterator();
                iterator.hasNext(); ) {
            Map.Entry<Incarnation, Holder> holder = iterator.next();
            if (isReleased.test(holder.getKey())) {
                holder.getValue()
                        .serverGrants
                        .forEach((server, grant) -> setMaxHeld(server, grant, 0));
                iterator.remove();
            }
        }
    }

    /**
     * Releases connections that grants were reduced by and that are certain to be closed.
     *
     * @return the earliest time of the log at which more can be released
     */
    double release(double logTimeMs) {
        double nextReleaseMs = Double.POSITIVE_INFINITY;
        for (Holder holder : holders.values()) {
            for (Map.Entry<Integer, ServerGrant> entry : holder.serverGrants.entrySet()) {
                ServerGrant grant = entry.getValue();
                if (grant.maxHeld > grant.granted && logTimeMs >= grant.releaseMs) {
                    setMaxHeld(entry.getKey(), grant, grant.granted);
                } else if (grant.maxHeld > grant.granted) {
                    nextReleaseMs = Math.min(nextReleaseMs, grant.releaseMs);
                }
            }
            holder.serverGrants.values().removeIf(grant -> grant.maxHeld == 0);
        }
        return nextReleaseMs;
    }

    /** Writes the table as a part of a snapshot. */
    void write(DataOutputStream output) throws IOException {
        VarInts.write(output, servers.size());
        for (Server server : servers) {
            output.writeUTF(server.name);
            VarInts.write(output, server.start);
            VarInts.write(output, server.capacity);
        }
        VarInts.write(output, holders.size());
        for (Map.Entry<Incarnation, Holder> holder : holders.entrySet()) {
            VarInts.write(output, holder.getKey());
            write(output, holder.getValue());
        }
    }

    private static void write(DataOutputStream output, Holder holder) throws IOException {
        output.writeDouble(holder.reportedMs);
        // Members may remove empty grants at different times; these are left out, so that the
        // snapshots of all members are the same.
        List<Map.Entry<Integer, ServerGrant>> grants =
                holder.serverGrants.entrySet().stream()
                        .filter(entry -> entry.getValue().maxHeld > 0)
                        .toList();
        VarInts.write(output, grants.size());
        for (Map.Entry<Integer, ServerGrant> entry : grants) {
            ServerGrant grant = entry.getValue();
            VarInts.write(output, entry.getKey());
            VarInts.write(output, grant.granted);
            VarInts.write(output, grant.maxHeld);
            VarInts.write(output, grant.reducedIndex);
            output.writeDouble(grant.releaseMs);
            VarInts.write(output, grant.fencingToken);
        }
        writeCounts(output, holder.demands);
        writeCounts(output, holder.accountGrants);
    }

    private static void writeCounts(DataOutputStream output, Map<Long, Integer> counts)
            throws IOException {
        VarInts.write(output, counts.size());
        for (Map.Entry<Long, Integer> account : counts.entrySet()) {
            VarInts.write(output, account.getKey());
            VarInts.write(output, account.getValue());
        }
    }

    /** Replaces the table by a part of a snapshot. */
    void read(DataInputStream input) throws IOException {
        servers.clear();
        numbers.clear();
        for (int remaining = VarInts.readCount(input, BudgetLedger.MAX_SERVERS);
                remaining > 0;
                remaining--) {
            Server server = addServer(input.readUTF());
            server.start = VarInts.read(input);
            server.capacity = VarInts.readCount(input, LedgerEntry.MAX_COUNT);
        }
        holders.clear();
        for (int remaining = VarInts.readCount(input, LedgerEntry.MAX_COUNT);
                remaining > 0;
                remaining--) {
            holders.put(VarInts.readIncarnation(input), readHolder(input));
        }
    }

    private Holder readHolder(DataInputStream input) throws IOException {
        Holder holder = new Holder();
        holder.reportedMs = input.readDouble();
        for (int remaining = VarInts.readCount(input, BudgetLedger.MAX_SERVERS);
                remaining > 0;
                remaining--) {
            int server = VarInts.readCount(input, servers.size() - 1);
            ServerGrant grant = new ServerGrant();
            grant.granted = VarInts.readCount(input, LedgerEntry.MAX_COUNT);
            setMaxHeld(server, grant, VarInts.readCount(input, LedgerEntry.MAX_COUNT));
            grant.reducedIndex = VarInts.read(input);
            grant.releaseMs = input.readDouble();
            grant.fencingToken = VarInts.read(input);
            holder.serverGrants.put(server, grant);
        }
        readCounts(input, holder.demands);
        readCounts(input, holder.accountGrants);
        return holder;
    }

    private static void readCounts(DataInputStream input, Map<Long, Integer> counts)
            throws IOException {
        for (int remaining = VarInts.readCount(input, BudgetLedger.MAX_ACCOUNTS);
                remaining > 0;
                remaining--) {
            counts.put(VarInts.read(input), VarInts.readCount(input, LedgerEntry.MAX_COUNT));
        }
    }
}
