package tinford.lab.fleet;

/**
 * What is wrong with one way of a link. Two at once add up.
 *
 * @param cut nothing passes; {@code refused}: new connections are refused meanwhile, else they hang
 * @param delay and {@code jitter} (drawn evenly up to it) in ms; {@code rate} in bytes a ms, 0 for
 *     no bound
 * @param loss shares of datagrams, as are {@code doubled} and {@code reordered}; streams know none
 *     of the three
 */
record Impairment(
        boolean cut,
        boolean refused,
        double delay,
        double jitter,
        double rate,
        double loss,
        double doubled,
        double reordered) {
    static final Impairment NONE = new Impairment(false, false, 0, 0, 0, 0, 0, 0);

    static Impairment cut(boolean refused) {
        return new Impairment(true, refused, 0, 0, 0, 0, 0, 0);
    }

    Impairment and(Impairment o) {
        double slower = rate == 0 ? o.rate : o.rate == 0 ? rate : Math.min(rate, o.rate);
        return new Impairment(
                cut || o.cut,
                refused || o.refused,
                delay + o.delay,
                jitter + o.jitter,
                slower,
                either(loss, o.loss),
                either(doubled, o.doubled),
                either(reordered, o.reordered));
    }

    private static double either(double a, double b) {
        return 1 - (1 - a) * (1 - b);
    }
}
