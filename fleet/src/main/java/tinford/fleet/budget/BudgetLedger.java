package tinford.fleet.budget;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Lease;
import tinford.fleet.membership.LeaseTable;
import tinford.fleet.store.ReplicatedLog;

/**
 * State machine of the grants of connections, which follow from the entries of the replicated log
 * and are the same on every member. A grant is accepted only if all connections that may be held,
 * that linger, or that are granted fit into the server's capacity less its static part. This class
 * alone enforces that rule, whoever proposes the grant. Holds at most {@link #MAX_SERVERS} servers,
 * {@link #MAX_ACCOUNTS} accounts per incarnation, and the incarnations of {@link LeaseTable}.
 */
public class BudgetLedger implements ReplicatedLog.StateMachine {
    public static final int MAX_SERVERS = 4096;
    public static final int MAX_ACCOUNTS = 4096;

    final LeaseTable leases;
    final StaticShares staticShares;
    final GrantTable table = new GrantTable();
    private double nextReleaseMs = Double.POSITIVE_INFINITY;
    private long lastIndex;
    private long lastGrantIndex;
    private long unknownEntries;
    private long unreadableEntries;
    private long staleEntries;
    private long rejectedGrants;
    private long acceptedGrants;

    public BudgetLedger(LeaseTable leases, StaticShares staticShares) {
        this.leases = leases;
        this.staticShares = staticShares;
    }

    @Override
    public void apply(long index, byte[] entry) {
        if (index <= lastIndex) {
            return;
        }
        lastIndex = index;
        if (!leases.apply(index, entry)) {
            applyBudgetEntry(index, entry);
        }
        release();
    }

    private void applyBudgetEntry(long index, byte[] bytes) {
        try {
            LedgerEntry entry = LedgerEntry.decode(bytes);
            if (entry instanceof LedgerEntry.DemandReport report) {
                apply(report);
            } else if (entry instanceof LedgerEntry.Grant grant) {
                apply(index, grant);
            } else if (entry instanceof LedgerEntry.CapacityOffer offer) {
                apply(offer);
            }
        } catch (LedgerEntry.UnknownEntryException e) {
            unknownEntries++;
        } catch (IOException e) {
            unreadableEntries++;
        }
    }

    private void apply(LedgerEntry.DemandReport report) {
        leases.observeTime(report.timestampMs());
        if (leases.isClosed(report.incarnation())) {
            staleEntries++;
            return;
        }
        GrantTable.Holder holder =
                table.holders.computeIfAbsent(report.incarnation(), key -> new GrantTable.Holder());
        // Even in an old report what was released stays released; its demand may be out of date.
        reduceHeld(holder, report);
        if (report.timestampMs() <= holder.reportedMs) {
            staleEntries++;
            return;
        }
        holder.reportedMs = report.timestampMs();
        report.demands().forEach((account, demand) -> putBounded(holder.demands, account, demand));
    }

    private void reduceHeld(GrantTable.Holder holder, LedgerEntry.DemandReport report) {
        report.heldConnections()
                .forEach(
                        (server, held) -> {
                            GrantTable.ServerGrant grant = holder.serverGrants.get(server);
                            if (grant != null
                                    && report.lastReadIndex() >= grant.reducedIndex
                                    && grant.maxHeld > grant.granted) {
                                int atLeast = Math.max(grant.granted, held);
                                table.setMaxHeld(server, grant, Math.min(grant.maxHeld, atLeast));
                            }
                        });
    }

    /**
     * Sets the count of an account; 0 removes it, and a new account beyond the bound is ignored.
     */
    private static void putBounded(Map<Long, Integer> counts, long account, int count) {
        if (count == 0) {
            counts.remove(account);
        } else if (counts.size() < MAX_ACCOUNTS || counts.containsKey(account)) {
            counts.put(account, count);
        }
    }

    private void apply(LedgerEntry.CapacityOffer offer) {
        leases.observeTime(offer.timestampMs());
        int number = table.serverNumber(offer.server());
        if (number < 0 && table.servers.size() >= MAX_SERVERS) {
            staleEntries++;
            return;
        }
        GrantTable.Server server =
                number < 0 ? table.addServer(offer.server()) : table.servers.get(number);
        if (offer.start() < server.start) {
            staleEntries++;
            return;
        }
        server.start = offer.start();
        server.capacity = offer.capacity();
    }

    private void apply(long index, LedgerEntry.Grant grant) {
        leases.observeTime(grant.timestampMs());
        release();
        if (grant.basisIndex() < lastGrantIndex || grant.basisIndex() >= index) {
            staleEntries++;
            return;
        }
        lastGrantIndex = index;
        for (LedgerEntry.GrantLine line : grant.serverLines()) {
            grantAtServer(index, line);
        }
        for (LedgerEntry.GrantLine line : grant.accountLines()) {
            grantForAccount(line);
        }
    }

    private void grantForAccount(LedgerEntry.GrantLine line) {
        GrantTable.Holder holder = table.holders.get(line.incarnation());
        if (holder == null || !leases.mayRenew(line.incarnation())) {
            staleEntries++;
        } else {
            putBounded(holder.accountGrants, line.target(), line.connections());
        }
    }

    private void grantAtServer(long index, LedgerEntry.GrantLine line) {
        GrantTable.Holder holder = table.holders.get(line.incarnation());
        if (holder == null || line.target() < 0 || line.target() >= table.servers.size()) {
            staleEntries++;
            return;
        }
        int server = (int) line.target();
        int connections = line.connections();
        GrantTable.ServerGrant grant =
                holder.serverGrants.computeIfAbsent(server, key -> new GrantTable.ServerGrant());
        if (connections > grant.maxHeld
                && !hasCapacity(line.incarnation(), server, connections - grant.maxHeld)) {
            rejectedGrants++;
            return;
        }
        if (connections > grant.granted && !leases.mayRenew(line.incarnation())) {
            staleEntries++;
            return;
        }
        if (connections < grant.granted) {
            reduce(index, line.incarnation(), grant);
        }
        grant.granted = connections;
        grant.fencingToken = index;
        table.setMaxHeld(server, grant, Math.max(grant.maxHeld, connections));
        acceptedGrants++;
    }

    private void reduce(long index, Incarnation incarnation, GrantTable.ServerGrant grant) {
        Lease lease = leases.of(incarnation);
        grant.reducedIndex = index;
        grant.releaseMs = lease == null ? leases.logTimeMs() : releaseMs(lease);
        nextReleaseMs = Math.min(nextReleaseMs, grant.releaseMs);
    }

    /**
     * Whether the server's capacity allows that many more connections in addition to all that may
     * be held.
     */
    boolean hasCapacity(Incarnation incarnation, int server, int additional) {
        return maxHeld(server) + additional <= grantable(server);
    }

    /**
     * The log's time from which the holder is certain to have released what a grant was reduced by,
     * even if it never reported that.
     */
    double releaseMs(Lease lease) {
        return lease.expiresAtMs() + leases.maxClockSkewMs() + leases.lingerMs();
    }

    /** Whether no connection that the incarnation was granted can still be open. */
    boolean isReleased(Incarnation incarnation) {
        return leases.isClosed(incarnation);
    }

    private void release() {
        table.removeHolders(this::isReleased);
        if (leases.logTimeMs() >= nextReleaseMs) {
            nextReleaseMs = table.release(leases.logTimeMs());
        }
    }

    /** Connections that can be granted at a server in total: its capacity less the static part. */
    int grantable(int server) {
        GrantTable.Server entry = table.servers.get(server);
        return entry.capacity - staticShares.total(entry.name);
    }

    /** Number of a server in this log; -1 if it is unknown. */
    public int serverNumber(String server) {
        return table.serverNumber(server);
    }

    /** Index of the last applied entry. */
    public long lastIndex() {
        return lastIndex;
    }

    public LeaseTable leases() {
        return leases;
    }

    /** Number of entries that were skipped because their kind or format version is unknown. */
    public long unknownEntries() {
        return unknownEntries;
    }

    /** Number of entries that were truncated or had values out of range. */
    public long unreadableEntries() {
        return unreadableEntries;
    }

    /**
     * Number of entries and lines of grants that were ignored because they were out of date or
     * referred to a server or incarnation that is not held.
     */
    public long staleEntries() {
        return staleEntries;
    }

    /**
     * Number of lines of grants that were rejected because they would exceed a server's capacity.
     */
    public long rejectedGrants() {
        return rejectedGrants;
    }

    /** Number of accepted lines of grants at servers. */
    public long acceptedGrants() {
        return acceptedGrants;
    }

    /** Connections that may be held at a server beyond the static part. */
    public int maxHeld(int server) {
        return table.servers.get(server).maxHeld;
    }

    /** Connections that an incarnation is granted at a server, in addition to its static share. */
    public int granted(Incarnation incarnation, int server) {
        GrantTable.ServerGrant grant = table.serverGrant(incarnation, server);
        return grant == null ? 0 : grant.granted;
    }

    /** Attempts in flight that an account is granted through an incarnation. */
    public int accountGrant(Incarnation incarnation, long account) {
        GrantTable.Holder holder = table.holders.get(incarnation);
        return holder == null ? 0 : holder.accountGrants.getOrDefault(account, 0);
    }

    /** The incarnations to which more may be granted, in order of gateway and start. */
    List<Incarnation> eligibleIncarnations() {
        List<Incarnation> incarnations = new ArrayList<>();
        for (Incarnation incarnation : table.holders.keySet()) {
            if (leases.mayRenew(incarnation)) {
                incarnations.add(incarnation);
            }
        }
        return Collections.unmodifiableList(incarnations);
    }

    @Override
    public byte[] snapshot() {
        return LedgerEntry.write(
                LedgerEntry.FORMAT_VERSION,
                output -> {
                    leases.write(output);
                    VarInts.write(output, lastIndex);
                    VarInts.write(output, lastGrantIndex);
                    table.write(output);
                });
    }

    /**
     * @throws UncheckedIOException if the snapshot can't be read; as a majority has agreed on it,
     *     there is nothing to replace it by
     */
    @Override
    public void restore(long index, byte[] snapshot) {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(snapshot))) {
            if (input.readByte() != LedgerEntry.FORMAT_VERSION
                    || input.readByte() != LedgerEntry.FORMAT_VERSION) {
                throw new IOException(
                        "snapshot of budgets: unknown format version, expected "
                                + LedgerEntry.FORMAT_VERSION);
            }
            leases.read(input);
            lastIndex = Math.max(index, VarInts.read(input));
            lastGrantIndex = VarInts.read(input);
            table.read(input);
            nextReleaseMs = 0;
            release();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
