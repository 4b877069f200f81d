package tinford.fleet.store;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/** Translates the bounds of a {@link RaftLog} into properties of the library. */
final class RatisProperties {
    private static final int RETAINED_SNAPSHOTS = 2;
    private static final int CACHED_SEGMENTS = 2;
    private static final double RETRY_CACHE_MARGIN_MS = 1000;

    /** Longer than any rejoin takes. */
    private static final double REJOIN_ELECTION_TIMEOUT_MS = 3_600_000;

    private RatisProperties() {}

    /**
     * @param rejoins whether the member has no group yet: an election that it starts then is
     *     answered with the end of its division
     */
    static RaftProperties of(RatisMember.Settings settings, boolean rejoins) {
        RaftLog.Bounds bounds = settings.bounds();
        InetSocketAddress listenAddress = settings.members().get(settings.number());
        RaftProperties properties = new RaftProperties();
        RaftConfigKeys.Rpc.setType(properties, settings.rpcType());
        GrpcConfigKeys.Server.setHost(properties, listenAddress.getHostString());
        GrpcConfigKeys.Server.setPort(properties, listenAddress.getPort());
        RaftServerConfigKeys.setStorageDir(properties, List.of(settings.folder().toFile()));
        RaftServerConfigKeys.setStorageFreeSpaceMin(properties, SizeInBytes.valueOf("4MB"));
        setTimeouts(properties, rejoins ? REJOIN_ELECTION_TIMEOUT_MS : bounds.electionTimeoutMs());
        setLogSizes(properties, bounds);
        setSnapshots(properties, bounds);
        RaftServerConfigKeys.Write.setElementLimit(
                properties, 2 * bounds.maxInFlight() * settings.members().size());
        RaftServerConfigKeys.RetryCache.setExpiryTime(
                properties, milliseconds(4 * bounds.appendTimeoutMs() + RETRY_CACHE_MARGIN_MS));
        return properties;
    }

    private static void setTimeouts(RaftProperties properties, double timeoutMs) {
        RaftServerConfigKeys.Rpc.setTimeoutMin(properties, milliseconds(timeoutMs));
        RaftServerConfigKeys.Rpc.setTimeoutMax(properties, milliseconds(2 * timeoutMs));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(
                properties, milliseconds(timeoutMs / 2));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(properties, milliseconds(timeoutMs));
        // a process that was suspended for long continues, as a follower that catches up
        RaftServerConfigKeys.setCloseThreshold(
                properties, TimeDuration.valueOf(365, TimeUnit.DAYS));
    }

    private static void setLogSizes(RaftProperties properties, RaftLog.Bounds bounds) {
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf("1MB"));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf("64KB"));
        RaftServerConfigKeys.Log.setWriteBufferSize(properties, SizeInBytes.valueOf("2MB"));
        RaftServerConfigKeys.Log.setSegmentCacheNumMax(properties, CACHED_SEGMENTS);
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(
                properties, SizeInBytes.valueOf("1MB"));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
        RaftServerConfigKeys.Log.setPurgeGap(properties, 1);
        RaftServerConfigKeys.Log.setPurgePreservationLogNum(properties, bounds.snapshotThreshold());
    }

    private static void setSnapshots(RaftProperties properties, RaftLog.Bounds bounds) {
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(
                properties, bounds.snapshotThreshold());
        RaftServerConfigKeys.Snapshot.setCreationGap(properties, 1);
        RaftServerConfigKeys.Snapshot.setTriggerWhenStopEnabled(properties, false);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, RETAINED_SNAPSHOTS);
    }

    private static TimeDuration milliseconds(double ms) {
        return TimeDuration.valueOf((long) Math.ceil(ms), TimeUnit.MILLISECONDS);
    }
}
