package tinford.api;

/** A kind of req, as the operators set it up. */
public final class Frontend {
    public final String name;
    public final double target;
    public final double timeout;
    public final double value;
    public final double lateValue;
    public final Effect effect;
    public final Group group;
    public final double repeatWindow;
    public final boolean streamed;

    public Frontend(
            String name,
            double target,
            double timeout,
            double value,
            double lateValue,
            Effect effect,
            Group group,
            double repeatWindow,
            boolean streamed) {
        this.name = name;
        this.target = target;
        this.timeout = timeout;
        this.value = value;
        this.lateValue = lateValue;
        this.effect = effect;
        this.group = group;
        this.repeatWindow = repeatWindow;
        this.streamed = streamed;
    }
}
