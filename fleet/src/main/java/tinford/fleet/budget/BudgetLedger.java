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
 * Who was granted what at which server, by the entries of the log; the same on every member. A
 * grant is taken only where all that is granted, may be held or lingers fits in the offer less its
 * static part: here alone that promise is kept, whoever proposes. Bounds: {@link #MAX_SERVERS}
 * servers, {@link #MAX_ACCOUNTS} accounts an incarnation, incarnations as {@link LeaseTable} has.
 */
public class BudgetLedger implements ReplicatedLog.StateMachine {
    public static final int MAX_SERVERS = 4096;
    public static final int MAX_ACCOUNTS = 4096;

    final LeaseTable leases;
    final StaticShares staticShares;
    final GrantTable table = new GrantTable();
    private double nextFree = Double.POSITIVE_INFINITY;
    private long last;
    private long lastGrant;
    private long unknown;
    private long unread;
    private long stale;
    private long over;
    private long grants;

    public BudgetLedger(LeaseTable leases, StaticShares staticShares) {
        this.leases = leases;
        this.staticShares = staticShares;
    }

    @Override
    public void apply(long index, byte[] entry) {
        if (index <= last) {
            return;
        }
        last = index;
        if (!leases.apply(index, entry)) {
            applyOwn(index, entry);
        }
        sweep();
    }

    private void applyOwn(long index, byte[] bytes) {
        try {
            LedgerEntry entry = LedgerEntry.decode(bytes);
            if (entry instanceof LedgerEntry.DemandReport tell) {
                told(tell);
            } else if (entry instanceof LedgerEntry.Grant grant) {
                granted(index, grant);
            } else if (entry instanceof LedgerEntry.CapacityOffer offer) {
                offered(offer);
            }
        } catch (LedgerEntry.UnknownEntryException e) {
            unknown++;
        } catch (IOException e) {
            unread++;
        }
    }

    private void told(LedgerEntry.DemandReport tell) {
        leases.observeTime(tell.at());
        if (leases.isClosed(tell.incarnation())) {
            stale++;
            return;
        }
        GrantTable.Holder holder =
                table.holders.computeIfAbsent(tell.incarnation(), key -> new GrantTable.Holder());
        // What is let go is safe to take late; what is wanted is not.
        letGo(holder, tell);
        if (tell.at() <= holder.told) {
            stale++;
            return;
        }
        holder.told = tell.at();
        tell.wanted().forEach((account, count) -> putBounded(holder.asked, account, count));
    }

    private void letGo(GrantTable.Holder holder, LedgerEntry.DemandReport tell) {
        tell.held()
                .forEach(
                        (server, held) -> {
                            GrantTable.Cell cell = holder.cells.get(server);
                            if (cell != null
                                    && tell.seen() >= cell.shrunk
                                    && cell.may > cell.granted) {
                                int may = Math.min(cell.may, Math.max(cell.granted, held));
                                table.setMay(server, cell, may);
                            }
                        });
    }

    /** 0 takes the account out; a further one beyond the bound is left out. */
    private static void putBounded(Map<Long, Integer> counts, long account, int count) {
        if (count == 0) {
            counts.remove(account);
        } else if (counts.size() < MAX_ACCOUNTS || counts.containsKey(account)) {
            counts.put(account, count);
        }
    }

    private void offered(LedgerEntry.CapacityOffer offer) {
        leases.observeTime(offer.at());
        int number = table.number(offer.server());
        if (number < 0 && table.servers.size() >= MAX_SERVERS) {
            stale++;
            return;
        }
        GrantTable.Server server =
                number < 0 ? table.add(offer.server()) : table.servers.get(number);
        if (offer.start() < server.start) {
            stale++;
            return;
        }
        server.start = offer.start();
        server.offer = offer.offer();
    }

    private void granted(long index, LedgerEntry.Grant grant) {
        leases.observeTime(grant.at());
        sweep();
        if (grant.basis() < lastGrant || grant.basis() >= index) {
            stale++;
            return;
        }
        lastGrant = index;
        for (LedgerEntry.GrantLine line : grant.atServers()) {
            grantAtServer(index, line);
        }
        for (LedgerEntry.GrantLine line : grant.forAccounts()) {
            grantForAccount(line);
        }
    }

    private void grantForAccount(LedgerEntry.GrantLine line) {
        GrantTable.Holder holder = table.holders.get(line.incarnation());
        if (holder == null || !leases.mayRenew(line.incarnation())) {
            stale++;
        } else {
            putBounded(holder.uses, line.what(), line.count());
        }
    }

    private void grantAtServer(long index, LedgerEntry.GrantLine line) {
        GrantTable.Holder holder = table.holders.get(line.incarnation());
        if (holder == null || line.what() < 0 || line.what() >= table.servers.size()) {
            stale++;
            return;
        }
        int server = (int) line.what();
        GrantTable.Cell cell = holder.cells.computeIfAbsent(server, key -> new GrantTable.Cell());
        if (line.count() > cell.may && !fits(line.incarnation(), server, line.count() - cell.may)) {
            over++;
            return;
        }
        if (line.count() > cell.granted && !leases.mayRenew(line.incarnation())) {
            stale++;
            return;
        }
        if (line.count() < cell.granted) {
            shrink(index, line.incarnation(), cell);
        }
        cell.granted = line.count();
        cell.fencingToken = index;
        table.setMay(server, cell, Math.max(cell.may, line.count()));
        grants++;
    }

    private void shrink(long index, Incarnation incarnation, GrantTable.Cell cell) {
        Lease lease = leases.of(incarnation);
        cell.shrunk = index;
        cell.free = lease == null ? leases.logTimeMs() : free(lease);
        nextFree = Math.min(nextFree, cell.free);
    }

    /** Whether so many more fit beside all that may be held: the promise "never over". */
    boolean fits(Incarnation incarnation, int server, int more) {
        return held(server) + more <= pool(server);
    }

    /**
     * When the holder surely has let go of what it was told to, though it was never heard of again.
     */
    double free(Lease lease) {
        return lease.expiresAtMs() + leases.maxClockSkewMs() + leases.lingerMs();
    }

    /** Whether nothing that the incarnation was granted can be open. */
    boolean gone(Incarnation incarnation) {
        return leases.isClosed(incarnation);
    }

    private void sweep() {
        table.removeHolders(this::gone);
        if (leases.logTimeMs() >= nextFree) {
            nextFree = table.release(leases.logTimeMs());
        }
    }

    /** What can be granted at a server in all. */
    int pool(int server) {
        GrantTable.Server s = table.servers.get(server);
        return s.offer - staticShares.sum(s.name);
    }

    /** Its number in this log, or -1. */
    public int serverNumber(String server) {
        return table.number(server);
    }

    /** The last index applied. */
    public long lastIndex() {
        return last;
    }

    public LeaseTable leases() {
        return leases;
    }

    /** Entries of kinds or forms that it does not know: each one skipped whole. */
    public long unknownEntries() {
        return unknown;
    }

    /** Entries that could not be read to their end. */
    public long unreadableEntries() {
        return unread;
    }

    /** Entries and lines that came too late to count. */
    public long staleEntries() {
        return stale;
    }

    /** Lines refused because the offer would have been exceeded. */
    public long rejectedGrants() {
        return over;
    }

    /** Lines taken at servers. */
    public long acceptedGrants() {
        return grants;
    }

    /** All that may be held at a server beyond the static part. */
    public int held(int server) {
        return table.servers.get(server).held;
    }

    /** What one incarnation is granted at a server. */
    public int granted(Incarnation incarnation, int server) {
        GrantTable.Cell cell = table.cell(incarnation, server);
        return cell == null ? 0 : cell.granted;
    }

    /** For an account through one incarnation. */
    public int accountGrant(Incarnation incarnation, long account) {
        GrantTable.Holder holder = table.holders.get(incarnation);
        return holder == null ? 0 : holder.uses.getOrDefault(account, 0);
    }

    /** The incarnations that may be given something, by gateway. */
    List<Incarnation> givable() {
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
                LedgerEntry.FORM,
                out -> {
                    leases.write(out);
                    VarInts.put(out, last);
                    VarInts.put(out, lastGrant);
                    table.write(out);
                });
    }

    @Override
    public void restore(long index, byte[] snapshot) {
        try {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(snapshot));
            if (in.readByte() != LedgerEntry.FORM || in.readByte() != LedgerEntry.FORM) {
                throw new IOException(
                        "a snapshot of a form that is not known, expected " + LedgerEntry.FORM);
            }
            leases.read(in);
            last = Math.max(index, VarInts.take(in));
            lastGrant = VarInts.take(in);
            table.read(in);
            nextFree = 0;
            sweep();
        } catch (IOException e) {
            // What is restored came from a majority; nothing else can stand in for it.
            throw new UncheckedIOException(e);
        }
    }
}
