package tinford.simulator;

import java.util.ArrayList;
import java.util.List;

/** Definition of one recording: a small deployment, its traffic and its faults. */
final class RecordingScenario {
    /** Kinds of faults. Faults of servers affect one server in three. */
    enum FaultKind {
        COUNTER_SILENT,
        COUNTER_LATE,
        COUNTER_REJECTS,
        COUNTER_RESET,
        SERVERS_HANG,
        SERVERS_FAIL,
        SERVERS_OVERLOADED,
        SERVERS_UNREACHABLE,
        SERVERS_SLOW,
        SERVERS_DRAIN,
        SERVERS_RESTART,
        DISCOVERY_FAILS,
        CONNECTIONS_BREAK,
        CLIENTS_DISCONNECT,
        BURST,
        GATEWAYS_KILLED
    }

    /** A fault, with its start and end in seconds from the start of the recording. */
    record Fault(FaultKind kind, double fromS, double untilS) {}

    private final String name;
    private final long seed;
    private final List<Fault> faults = new ArrayList<>();
    private int gatewayCount;
    private int serverCount;
    private double requestsPerSecond;
    private double durationS;
    private boolean watchRequired;
    private boolean postPaid;
    private boolean streamed;
    private boolean hedgingAllowed;
    private boolean hardLimits;
    private double warmingShare;

    private RecordingScenario(String name, long seed) {
        this.name = name;
        this.seed = seed;
    }

    /** Returns the scenarios of the transcripts, in the order of their seeds. */
    static List<RecordingScenario> all() {
        List<RecordingScenario> all = new ArrayList<>(counterScenarios());
        all.addAll(serverScenarios());
        all.addAll(clientScenarios());
        all.sort((a, b) -> Long.compare(a.seed, b.seed));
        return all;
    }

    private static List<RecordingScenario> counterScenarios() {
        return List.of(
                new RecordingScenario("counter-silent", 3)
                        .deployment(3, 8)
                        .traffic(110, 7)
                        .postPaid()
                        .hardLimits()
                        .fault(FaultKind.COUNTER_SILENT, 1.5, 4.5),
                new RecordingScenario("counter-flushed", 4)
                        .deployment(2, 8)
                        .traffic(110, 6)
                        .fault(FaultKind.COUNTER_RESET, 2, 2.1)
                        .fault(FaultKind.COUNTER_RESET, 4, 4.1),
                new RecordingScenario("counter-late", 5)
                        .deployment(4, 8)
                        .traffic(130, 6)
                        .watchRequired()
                        .postPaid()
                        .hedgingAllowed()
                        .hardLimits()
                        .fault(FaultKind.COUNTER_LATE, 1, 4)
                        .fault(FaultKind.COUNTER_REJECTS, 4.2, 5));
    }

    private static List<RecordingScenario> serverScenarios() {
        return List.of(
                new RecordingScenario("cold-servers", 2)
                        .deployment(3, 10)
                        .traffic(120, 6)
                        .hedgingAllowed()
                        .hardLimits()
                        .warmingShare(0.4)
                        .fault(FaultKind.SERVERS_RESTART, 2, 4),
                new RecordingScenario("drains", 6)
                        .deployment(3, 12)
                        .traffic(120, 6)
                        .watchRequired()
                        .warmingShare(0.2)
                        .fault(FaultKind.SERVERS_DRAIN, 1, 5)
                        .fault(FaultKind.DISCOVERY_FAILS, 2, 3.5),
                new RecordingScenario("hanging-servers", 7)
                        .deployment(2, 10)
                        .traffic(110, 6)
                        .hedgingAllowed()
                        .fault(FaultKind.SERVERS_HANG, 1, 4)
                        .fault(FaultKind.SERVERS_SLOW, 4.2, 5.5),
                new RecordingScenario("failing-servers", 8)
                        .deployment(3, 10)
                        .traffic(120, 6)
                        .postPaid()
                        .hardLimits()
                        .fault(FaultKind.SERVERS_FAIL, 1, 3)
                        .fault(FaultKind.SERVERS_OVERLOADED, 2.5, 4)
                        .fault(FaultKind.SERVERS_UNREACHABLE, 3.5, 5),
                new RecordingScenario("restarts", 12)
                        .deployment(4, 12)
                        .traffic(140, 7)
                        .watchRequired()
                        .streamed()
                        .hedgingAllowed()
                        .hardLimits()
                        .warmingShare(0.3)
                        .fault(FaultKind.GATEWAYS_KILLED, 1.5, 5)
                        .fault(FaultKind.SERVERS_RESTART, 2, 5)
                        .fault(FaultKind.COUNTER_SILENT, 3, 4)
                        .fault(FaultKind.CLIENTS_DISCONNECT, 1, 6)
                        .fault(FaultKind.SERVERS_FAIL, 4.5, 6));
    }

    private static List<RecordingScenario> clientScenarios() {
        return List.of(
                new RecordingScenario("calm", 1).deployment(2, 8).traffic(90, 5).hardLimits(),
                new RecordingScenario("clients-leave", 9)
                        .deployment(2, 8)
                        .traffic(130, 5)
                        .streamed()
                        .hedgingAllowed()
                        .hardLimits()
                        .fault(FaultKind.CLIENTS_DISCONNECT, 0.5, 4.5)
                        .fault(FaultKind.CONNECTIONS_BREAK, 1, 4),
                new RecordingScenario("streamed", 10)
                        .deployment(3, 8)
                        .traffic(110, 6)
                        .watchRequired()
                        .postPaid()
                        .streamed()
                        .warmingShare(0.1)
                        .fault(FaultKind.SERVERS_HANG, 2, 4),
                new RecordingScenario("burst", 11)
                        .deployment(2, 6)
                        .traffic(130, 6)
                        .hedgingAllowed()
                        .hardLimits()
                        .fault(FaultKind.BURST, 1, 4));
    }

    private RecordingScenario deployment(int gateways, int servers) {
        gatewayCount = gateways;
        serverCount = servers;
        return this;
    }

    private RecordingScenario traffic(double perSecond, double seconds) {
        requestsPerSecond = perSecond;
        durationS = seconds;
        return this;
    }

    private RecordingScenario watchRequired() {
        watchRequired = true;
        return this;
    }

    private RecordingScenario postPaid() {
        postPaid = true;
        return this;
    }

    private RecordingScenario streamed() {
        streamed = true;
        return this;
    }

    private RecordingScenario hedgingAllowed() {
        hedgingAllowed = true;
        return this;
    }

    private RecordingScenario hardLimits() {
        hardLimits = true;
        return this;
    }

    private RecordingScenario warmingShare(double share) {
        warmingShare = share;
        return this;
    }

    private RecordingScenario fault(FaultKind kind, double fromS, double untilS) {
        faults.add(new Fault(kind, fromS, untilS));
        return this;
    }

    String name() {
        return name;
    }

    long seed() {
        return seed;
    }

    int gatewayCount() {
        return gatewayCount;
    }

    int serverCount() {
        return serverCount;
    }

    double requestsPerSecond() {
        return requestsPerSecond;
    }

    double durationS() {
        return durationS;
    }

    /** Whether discovery sends changes only to gateways that watch. */
    boolean isWatchRequired() {
        return watchRequired;
    }

    /** Whether actual units are settled with the first successful response. */
    boolean isPostPaid() {
        return postPaid;
    }

    /** Whether one request class is streamed. */
    boolean isStreamed() {
        return streamed;
    }

    boolean isHedgingAllowed() {
        return hedgingAllowed;
    }

    /** Whether one plan has a hard rate limit. */
    boolean hasHardLimits() {
        return hardLimits;
    }

    /** Share of the servers that are warming up at the start. */
    double initialWarmingShare() {
        return warmingShare;
    }

    List<Fault> faults() {
        return faults;
    }

    /** Returns whether a fault of this kind is active at a time in seconds from the start. */
    boolean isDuring(FaultKind kind, double atS) {
        return faults.stream()
                .anyMatch(
                        fault ->
                                fault.kind() == kind
                                        && atS >= fault.fromS()
                                        && atS < fault.untilS());
    }
}
