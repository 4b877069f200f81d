package tinford.lab.control;

/**
 * How scenarios are played.
 *
 * @param program control servers and gateways; the hollow followers run from this JVM's classes
 * @param paceSeconds from one drawn change to the next on a calm day; faults have their own pace
 * @param lengthFactor scenarios last so many times as long as they do in full
 */
record ControlOptions(
        ControlSize size, Classpath program, long seed, double paceSeconds, double lengthFactor) {
    /** Ten times 1,400 changes a day. */
    static final double TEN_TIMES_A_DAY_SECONDS = 86_400.0 / 14_000;
}
