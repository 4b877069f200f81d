package tinford.lab.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tinford.lab.fleet.History;

/**
 * How long each acknowledged revision took until it was in force at the followers, worked out from
 * the histories. Time counts from when the acknowledged attempt was sent; for followers of a region
 * that was cut off meanwhile, from when it was joined. A follower counts for a revision when it
 * lived from the attempt on until it held the revision, or to the end.
 */
final class InForce {
    private final Map<String, Double> lastAttempt = new HashMap<>();
    private final TreeMap<Long, Double> enteredAt = new TreeMap<>();
    private final Map<String, Life> followers = new TreeMap<>();
    private final Map<String, double[]> cuts = new HashMap<>(); // by region: cut at, joined at
    private final Map<Long, List<Double>> delays = new TreeMap<>();
    private final List<Double> catchUps = new ArrayList<>();
    private final List<String> missing = new ArrayList<>();

    /** One follower, from its last start on. */
    private static final class Life {
        final String region;
        final double startedAt;
        final boolean again;
        boolean caughtUp;
        final TreeMap<Long, Double> appliedAt = new TreeMap<>();
        double refusedAt = Double.POSITIVE_INFINITY;
        double stoppedAt = Double.POSITIVE_INFINITY;

        Life(String region, double startedAt, boolean again) {
            this.region = region;
            this.startedAt = startedAt;
            this.again = again;
        }
    }

    /** Median, 99th percentile and largest of some times. */
    record Spread(int count, double median, double p99, double largest) {
        static Spread of(List<Double> values) {
            if (values.isEmpty()) {
                return new Spread(0, Double.NaN, Double.NaN, Double.NaN);
            }
            double[] sorted = values.stream().mapToDouble(v -> v).toArray();
            Arrays.sort(sorted);
            return new Spread(
                    sorted.length, at(sorted, 0.5), at(sorted, 0.99), sorted[sorted.length - 1]);
        }

        private static double at(double[] sorted, double part) {
            return sorted[(int) Math.max(0, Math.ceil(part * sorted.length) - 1)];
        }
    }

    private InForce() {}

    /**
     * @param lines in the order of time, to the end of the run
     */
    static InForce of(List<History.Line> lines) {
        InForce all = new InForce();
        lines.forEach(all::see);
        all.enteredAt.forEach(all::measure);
        return all;
    }

    private void see(History.Line line) {
        String follower = line.text(Events.FOLLOWER);
        switch (line.kind()) {
            case Events.ENTERED -> lastAttempt.put(line.text(Events.ID), line.at());
            case Events.ACCEPTED ->
                    enteredAt.putIfAbsent(
                            revision(line),
                            lastAttempt.getOrDefault(line.text(Events.ID), line.at()));
            case Events.STARTED -> {
                Life before = followers.get(follower);
                followers.put(
                        follower, new Life(line.text(Events.REGION), line.at(), before != null));
            }
            case Events.STOPPED -> {
                if (followers.containsKey(follower)) {
                    followers.get(follower).stoppedAt = line.at();
                }
            }
            case Events.APPLIED -> {
                if (followers.containsKey(follower)) {
                    applied(followers.get(follower), line);
                }
            }
            case Events.NOT_APPLIED -> {
                if (followers.containsKey(follower)) {
                    followers.get(follower).refusedAt = line.at();
                }
            }
            case Events.CUT ->
                    cuts.put(
                            line.text(Events.REGION),
                            new double[] {line.at(), Double.POSITIVE_INFINITY});
            case Events.JOINED -> cuts.get(line.text(Events.REGION))[1] = line.at();
            default -> {}
        }
    }

    private void applied(Life life, History.Line line) {
        life.appliedAt.putIfAbsent(revision(line), line.at());
        if (life.again && !life.caughtUp && revision(line) >= newestBefore(life.startedAt)) {
            life.caughtUp = true;
            catchUps.add(line.at() - life.startedAt);
        }
    }

    private long newestBefore(double at) {
        return enteredAt.entrySet().stream()
                .filter(e -> e.getValue() <= at)
                .mapToLong(Map.Entry::getKey)
                .max()
                .orElse(0);
    }

    private void measure(long revision, double entered) {
        List<Double> its = delays.computeIfAbsent(revision, k -> new ArrayList<>());
        followers.forEach(
                (name, life) -> {
                    if (life.startedAt > entered) {
                        return;
                    }
                    Double applied =
                            life.appliedAt.tailMap(revision).values().stream()
                                    .min(Double::compare)
                                    .orElse(null);
                    if (applied == null && life.refusedAt < Double.POSITIVE_INFINITY
                            || applied != null && applied > life.refusedAt) {
                        return;
                    }
                    if (applied != null) {
                        its.add(Math.max(0, applied - counted(life, entered, applied)));
                    } else if (life.stoppedAt == Double.POSITIVE_INFINITY) {
                        missing.add(name + " at revision " + revision);
                    }
                });
    }

    /** From when a delay counts. */
    private double counted(Life life, double entered, double applied) {
        double[] cut = cuts.get(life.region);
        boolean kept = cut != null && entered < cut[1] && applied > cut[1];
        return kept ? cut[1] : entered;
    }

    /** Delays in ms of what was entered from that moment on, one for each follower that counts. */
    private List<List<Double>> since(double from) {
        return delays.entrySet().stream()
                .filter(its -> enteredAt.get(its.getKey()) >= from && !its.getValue().isEmpty())
                .map(Map.Entry::getValue)
                .toList();
    }

    /** Over all followers and all revisions entered from that moment on, ms. */
    Spread each(double from) {
        return Spread.of(since(from).stream().flatMap(List::stream).toList());
    }

    /** Over revisions entered from that moment on: until the last follower held it, ms. */
    Spread everywhere(double from) {
        return Spread.of(
                since(from).stream()
                        .map(its -> its.stream().max(Double::compare).orElseThrow())
                        .toList());
    }

    /** Over followers, for each revision entered from that moment on, ms. */
    Map<Long, Spread> spreadByRevision(double from) {
        Map<Long, Spread> all = new TreeMap<>();
        delays.forEach(
                (revision, its) -> {
                    if (enteredAt.get(revision) >= from) {
                        all.put(revision, Spread.of(its));
                    }
                });
        return all;
    }

    /** Of followers that were started again: from their start until they held the newest. */
    Spread restarts() {
        return Spread.of(catchUps);
    }

    /** Who never held a revision, though nothing excuses it. */
    List<String> missing() {
        return missing;
    }

    private static long revision(History.Line line) {
        return line.fields().path(Events.REVISION).asLong();
    }
}
