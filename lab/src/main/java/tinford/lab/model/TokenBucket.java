package tinford.lab.model;

/** The true quota of a customer, as one who saw all its requests would keep it: it starts full. */
public final class TokenBucket {
    private final double rate;
    private final double burst;
    private double level;
    private double at;

    public TokenBucket(double rate, double burst, double now) {
        this.rate = rate;
        this.burst = burst;
        this.level = burst;
        this.at = now;
    }

    public boolean take(double units, double now) {
        level = Math.min(burst, level + (now - at) * rate);
        at = now;
        boolean holds = level >= units;
        if (holds) {
            level -= units;
        }
        return holds;
    }
}
