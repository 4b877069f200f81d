package tinford.fleet.overload;

/**
 * By how much at most a time to come back is put off by chance: long enough that those denied in
 * one second return as a trickle.
 */
public final class RetryJitter {
    private final double longest;

    /**
     * @param longest in ms; nobody is put off for longer than a line stands without cause
     */
    public RetryJitter(double longest) {
        this.longest = longest;
    }

    /**
     * A second for each time over that is asked for more than is borne: the return of those denied
     * then adds no more than is borne.
     */
    public double most(double overAsked) {
        return overAsked <= 1 ? 0 : Math.min(longest, 1000 * (overAsked - 1) + 200);
    }
}
