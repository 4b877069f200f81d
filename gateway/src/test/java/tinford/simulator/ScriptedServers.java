package tinford.simulator;

import java.util.ArrayList;
import java.util.List;
import tinford.simulator.RecordingScenario.FaultKind;
import tinford.simulator.ScriptedRequest.Attempt;

/** The servers of a recording, which determine the latency and the outcome of attempts. */
final class ScriptedServers {
    private static final long INITIAL_UPTIME_US = 1_000_000;
    private static final long WARM_UP_US = 4_000_000;
    private static final double WARMING_SPEED = 0.5;
    private static final double LATENCY_PER_UNIT_US = 25_000;
    private static final double LATENCY_GROWTH_PER_ATTEMPT = 0.15;
    private static final double SLOW_SERVER_FACTOR = 8;
    private static final int MAX_ATTEMPTS_IN_FLIGHT = 14;
    private static final long NEVER_US = Long.MAX_VALUE / 4;

    private final Recording recording;
    private final List<ScriptedServer> servers = new ArrayList<>();

    ScriptedServers(Recording recording) {
        this.recording = recording;
        RecordingScenario scenario = recording.scenario;
        for (int i = 0; i < scenario.serverCount(); i++) {
            ScriptedServer server = newServer(i);
            if (i < scenario.serverCount() * scenario.initialWarmingShare()) {
                server.startedAtUs = recording.timeline.nowUs() - INITIAL_UPTIME_US + i * 100_000;
            }
            servers.add(server);
        }
    }

    private static ScriptedServer newServer(int index) {
        String id = "10.0.0." + (index + 1) + ":80";
        int cell = index % 3 * 10 + index / 6;
        return new ScriptedServer(id, "z" + index % 3, cell, index % 4 == 3 ? 2 : 1);
    }

    List<ScriptedServer> all() {
        return servers;
    }

    ScriptedServer get(int index) {
        return servers.get(index);
    }

    /**
     * Starts an attempt that a gateway sends now.
     *
     * @param timeoutUs timeout of the attempt, or 0 for the request's deadline
     */
    void startAttempt(
            ScriptedGateway gateway, ScriptedRequest request, String serverId, long timeoutUs) {
        ScriptedServer server =
                servers.stream().filter(each -> each.id.equals(serverId)).findFirst().orElseThrow();
        int number = request.attempts.size();
        request.attempts.add(new Attempt(server, recording.timeline.nowUs()));
        if (request.over) {
            gateway.schedule(
                    ScriptedTimeline.TICK_US, () -> endAttempt(gateway, request, number, "void"));
            return;
        }
        server.attemptsInFlight++;
        Result result = result(server, request);
        long limitUs = Math.max(0, request.deadlineUs - recording.timeline.nowUs());
        long maxUs = timeoutUs > 0 ? Math.min(timeoutUs, limitUs) : limitUs;
        if (request.streamed && result.isSuccess() && result.tookUs() < maxUs) {
            gateway.schedule(result.tookUs() / 2, () -> startResponse(gateway, request, number));
        }
        if (result.tookUs() < maxUs) {
            gateway.schedule(
                    result.tookUs(), () -> endAttempt(gateway, request, number, result.outcome()));
        }
        gateway.schedule(maxUs, () -> timeOut(gateway, request, number));
    }

    private record Result(String outcome, long tookUs) {
        boolean isSuccess() {
            return outcome.equals("success");
        }
    }

    /** Draws the service time of an attempt, then applies the server's state and the faults. */
    private Result result(ScriptedServer server, ScriptedRequest request) {
        long tookUs =
                ScriptedTimeline.TICK_US
                        + (long) recording.exponential(meanLatencyUs(server, request));
        if (!server.isUp()
                || server.attemptsInFlight > MAX_ATTEMPTS_IN_FLIGHT
                || isAffected(server, FaultKind.SERVERS_OVERLOADED)) {
            return new Result("overloaded", ScriptedTimeline.TICK_US);
        }
        if (isAffected(server, FaultKind.SERVERS_UNREACHABLE)) {
            return new Result("unreachable", 3 * ScriptedTimeline.TICK_US);
        }
        if (isAffected(server, FaultKind.SERVERS_FAIL)) {
            String outcome = recording.random.nextInt(3) > 0 ? "failure" : "broken";
            return new Result(outcome, ScriptedTimeline.TICK_US + recording.random.nextInt(5_000));
        }
        if (recording.isDuring(FaultKind.CONNECTIONS_BREAK) && recording.random.nextInt(6) == 0) {
            return new Result("broken", tookUs);
        }
        if (isAffected(server, FaultKind.SERVERS_HANG)) {
            return new Result("success", NEVER_US);
        }
        return new Result("success", tookUs);
    }

    private double meanLatencyUs(ScriptedServer server, ScriptedRequest request) {
        boolean warming = server.startedAtUs > recording.timeline.nowUs() - WARM_UP_US;
        double load = 1 + LATENCY_GROWTH_PER_ATTEMPT * server.attemptsInFlight;
        double meanUs = LATENCY_PER_UNIT_US * request.units * load / (warming ? WARMING_SPEED : 1);
        return isAffected(server, FaultKind.SERVERS_SLOW) ? meanUs * SLOW_SERVER_FACTOR : meanUs;
    }

    private boolean isAffected(ScriptedServer server, FaultKind kind) {
        return servers.indexOf(server) % 3 == 0 && recording.isDuring(kind);
    }

    private void startResponse(ScriptedGateway gateway, ScriptedRequest request, int number) {
        Attempt attempt = request.attempts.get(number);
        if (request.over || attempt.ended || request.responseStarted) {
            return;
        }
        request.responseStarted = true;
        gateway.sendEvent(
                "Begun", attemptFields(request, number) + ",\"TookUs\":" + elapsedUs(attempt));
    }

    private void timeOut(ScriptedGateway gateway, ScriptedRequest request, int number) {
        if (!request.responseStarted) {
            endAttempt(gateway, request, number, "timed_out");
        }
    }

    /** Ends an attempt that has not ended yet. */
    void endAttempt(ScriptedGateway gateway, ScriptedRequest request, int number, String outcome) {
        Attempt attempt = request.attempts.get(number);
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.server.attemptsInFlight = Math.max(0, attempt.server.attemptsInFlight - 1);
        boolean success = outcome.equals("success");
        boolean settled = success && !request.over && recording.scenario.isPostPaid();
        if (success || request.responseStarted) {
            request.over = true;
        }
        String settledField = settled ? ",\"Settled\":" + (1 + recording.random.nextInt(4)) : "";
        gateway.sendEvent(
                "Finished",
                attemptFields(request, number)
                        + ",\"How\":\""
                        + outcome
                        + "\",\"TookUs\":"
                        + elapsedUs(attempt)
                        + (request.over ? ",\"Ended\":true" : "")
                        + settledField);
    }

    private static String attemptFields(ScriptedRequest request, int number) {
        return "\"RequestId\":"
                + request.id
                + ",\"Hop\":"
                + number
                + ",\"Server\":\""
                + request.attempts.get(number).server.id
                + "\"";
    }

    private long elapsedUs(Attempt attempt) {
        return recording.timeline.nowUs() - attempt.sentAtUs;
    }
}
