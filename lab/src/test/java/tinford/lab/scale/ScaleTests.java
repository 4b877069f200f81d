package tinford.lab.scale;

/** Plays measurements of the registry at their small sizes. */
final class ScaleTests {
    private static final long SEED = 1;

    private ScaleTests() {}

    static Measurement named(String name) {
        return Measurements.all().stream()
                .filter(measurement -> measurement.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    static ScaleResult play(String name) throws Exception {
        return new ScaleRunner(false, SEED).run(named(name));
    }

    static Growth growth(ScaleResult result, String column) {
        return column(result, column).growth();
    }

    /** The mean at the largest size. */
    static double largest(ScaleResult result, String column) {
        return column(result, column).means().get(result.sizes().length - 1).mean();
    }

    /** The mean at the smallest size. */
    static double smallest(ScaleResult result, String column) {
        return column(result, column).means().get(0).mean();
    }

    private static ScaleResult.Column column(ScaleResult result, String name) {
        return result.columns().stream()
                .filter(column -> column.name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}
