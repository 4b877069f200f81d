package tinford.lab.control;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tinford.fleet.config.PlanRecord;
import tinford.lab.fleet.History;
import tinford.lab.fleet.HistoryJudge;
import tinford.lab.fleet.Promise;
import tinford.lab.fleet.TrafficMeter;

/** Works out what came of a run, from its histories and its meters. */
final class ControlFigures {
    private static final double MEGABYTE = 1 << 20;
    private static final String WATCH_LINK = "watch ";
    private final ControlRun run;
    private final List<History.Line> lines;
    private final ControlResult result;
    private final InForce inForce;

    private ControlFigures(ControlRun run) throws IOException {
        this.run = run;
        this.lines = run.lines();
        this.result = ControlResult.of(run.scenario());
        this.inForce = InForce.of(lines);
    }

    static ControlResult of(ControlRun run) throws IOException {
        ControlFigures figures = new ControlFigures(run);
        figures.judge();
        figures.times();
        figures.traffic();
        figures.resources();
        if (run.load() != null) {
            figures.gateways();
        }
        return figures.result;
    }

    /** All promises that a control run is held to. */
    static HistoryJudge judgeOfPromises() {
        Map<String, Promise> promises = new LinkedHashMap<>();
        promises.put("revisions rise", new RevisionsRise());
        promises.put("one content", new OneContent());
        promises.put("acknowledged kept", new AcknowledgedKept());
        return new HistoryJudge(promises);
    }

    private void judge() {
        result.broken().addAll(run.failures());
        HistoryJudge judge = judgeOfPromises();
        lines.forEach(judge::see);
        judge.breaches().forEach(breach -> result.broken().add(breach.story(run.began())));
        inForce.missing().stream()
                .limit(20)
                .forEach(missing -> result.broken().add("never in force: " + missing));
    }

    private void times() {
        InForce.Spread everywhere = inForce.everywhere(run.began());
        InForce.Spread each = inForce.each(run.began());
        result.put("revisions", everywhere.count());
        result.put("everywhere_median_s", everywhere.median() / 1000);
        result.put("everywhere_p99_s", everywhere.p99() / 1000);
        result.putLimited(
                "everywhere_largest_s",
                everywhere.largest() / 1000,
                ControlLimits.IN_FORCE_SECONDS);
        result.put("each_median_s", each.median() / 1000);
        result.put("each_p99_s", each.p99() / 1000);
        InForce.Spread restarts = inForce.restarts();
        if (restarts.count() > 0) {
            result.put("restarted", restarts.count());
            result.put("restart_median_s", restarts.median() / 1000);
            result.putLimited(
                    "restart_largest_s", restarts.largest() / 1000, ControlLimits.IN_FORCE_SECONDS);
        }
        result.put("attempts_not_taken", countInPlay(Events.TRIED));
        result.put("refusals_by_followers", countInPlay(Events.NOT_APPLIED));
    }

    private double countInPlay(String kind) {
        return lines.stream()
                .filter(line -> line.kind().equals(kind) && line.at() >= run.began())
                .count();
    }

    /** Watches and reports, both ways; the first snapshots were before the meters were reset. */
    private void traffic() {
        long total = 0;
        long worst = 0;
        double seconds = 1;
        for (Map.Entry<String, TrafficMeter.Reading> link : run.links().readings().entrySet()) {
            if (link.getKey().startsWith(WATCH_LINK)) {
                TrafficMeter.Reading reading = link.getValue();
                total += reading.total();
                worst = Math.max(worst, reading.worstConnection());
                seconds = reading.seconds();
            }
        }
        int followers = run.options().size().followers();
        result.putLimited(
                "bytes_per_s_mean", total / seconds / followers, ControlLimits.BYTES_PER_SECOND);
        result.put("bytes_per_s_worst_10s", worst / (double) TrafficMeter.WINDOW_SECONDS);
    }

    private void resources() {
        Map<String, ResourceSampler.Use> uses = run.resources().uses(run.began(), run.ended());
        double cores = 0;
        double megabytes = 0;
        double serverCores = 0;
        double serverWorst = 0;
        double serverMegabytes = 0;
        for (Map.Entry<String, ResourceSampler.Use> each : uses.entrySet()) {
            ResourceSampler.Use use = each.getValue();
            if (each.getKey().startsWith("followers-")) {
                cores += use.cores();
                megabytes += use.mostResident() / MEGABYTE;
            } else if (each.getKey().startsWith("server-")) {
                serverCores = Math.max(serverCores, use.cores());
                serverWorst = Math.max(serverWorst, use.worstCores());
                serverMegabytes = Math.max(serverMegabytes, use.mostResident() / MEGABYTE);
            }
        }
        double all = uses.values().stream().mapToDouble(use -> use.mostResident()).sum();
        result.put("megabytes_all_processes", all / MEGABYTE);
        int hollow = run.options().size().hollow();
        result.putLimited("cores_a_follower", cores / hollow, ControlLimits.CORES_A_FOLLOWER);
        result.putLimited(
                "megabytes_a_follower", megabytes / hollow, ControlLimits.MEGABYTES_A_FOLLOWER);
        result.put("cores_a_server_most", serverCores);
        result.put("cores_a_server_worst_10s", serverWorst);
        result.put("megabytes_a_server_most", serverMegabytes);
    }

    private void gateways() throws IOException {
        result.broken().addAll(run.load().broken());
        Map<String, Double> figures = run.load().await();
        result.put("load_requests", figures.get("tries"));
        result.put("load_unanswered_part", figures.get("unanswered"));
        result.put("load_p50_ms", figures.get("p50_ms"));
        result.put("load_p99_ms", figures.get("p99_ms"));
        List<Double> turns =
                lines.stream()
                        .filter(line -> line.kind().equals(Events.APPLIED))
                        .filter(line -> line.fields().has("turn_ms"))
                        .filter(line -> line.at() >= run.began())
                        .map(line -> line.fields().path("turn_ms").asDouble())
                        .toList();
        InForce.Spread turn = InForce.Spread.of(turns);
        result.put("turn_median_ms", turn.median());
        result.put("turn_largest_ms", turn.largest());
        quotas();
    }

    /** What was sent on for the plans that changed, by plan and phase. */
    private void quotas() {
        List<PlanRecord> whole = run.load().plansWithCeiling(1);
        List<PlanRecord> halved = run.load().plansWithCeiling(QuotaPhases.HALF);
        Map<Integer, Double> leastLeft = new TreeMap<>();
        for (int i = 0; i < whole.size(); i++) {
            List<QuotaUse.Phase> phases = new QuotaPhases(lines, whole.get(i), halved.get(i)).all();
            List<QuotaUse.Reading> readings = QuotaUse.of(lines, phases);
            for (int phase = 0; phase < readings.size(); phase++) {
                putQuota(phase, readings.get(phase));
                leastLeft.merge(phase, readings.get(phase).leastLeft(), Math::min);
            }
        }
        if (run.scenario() == ControlScenario.CALM) {
            List<Double> byPhase = List.copyOf(leastLeft.values());
            double largest = run.load().largestRequest();
            result.missed().addAll(CeilingCoverage.missing(byPhase, QuotaPhases.COUNT, largest));
        }
    }

    private void putQuota(int phase, QuotaUse.Reading reading) {
        String name = "quota_" + reading.plan().name() + "_phase" + phase;
        result.put(name + "_units", reading.units());
        result.put(name + "_beyond_part", reading.beyond());
        if (reading.units() > 0) {
            result.put(name + "_least_left_units", reading.leastLeft());
            result.put(name + "_over_ceiling_units", reading.overCeiling());
        }
        if (reading.overCeiling() > 0) {
            result.broken()
                    .add(name + ": " + reading.overCeiling() + " units over a customer's ceiling");
        }
    }

    /** Delays by revision, for a file. */
    static Map<Long, InForce.Spread> byRevision(ControlRun run) throws IOException {
        return InForce.of(run.lines()).spreadByRevision(run.began());
    }
}
