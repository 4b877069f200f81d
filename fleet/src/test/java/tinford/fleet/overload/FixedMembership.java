package tinford.fleet.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Membership;

/** A membership that consists of the records that a test adds. */
final class FixedMembership implements Membership {
    final TreeMap<Integer, GossipRecord> records = new TreeMap<>();
    int fleetSize;

    FixedMembership(int size) {
        this.fleetSize = size;
    }

    FixedMembership add(GossipRecord record) {
        records.put(record.incarnation.gateway(), record);
        return this;
    }

    @Override
    public int aliveCount() {
        return Math.max(1, records.size());
    }

    @Override
    public boolean isAlive(int gateway) {
        return records.containsKey(gateway);
    }

    @Override
    public List<Integer> aliveGateways() {
        return new ArrayList<>(records.keySet());
    }

    @Override
    public List<GossipRecord> freshRecords() {
        return new ArrayList<>(records.values());
    }

    @Override
    public int fleetSize() {
        return fleetSize;
    }
}
