package tinford.lab.control;

/** What the deployment grants, against which a run is held. */
final class ControlLimits {
    /** A change is in force everywhere within this. */
    static final double IN_FORCE_SECONDS = 13;

    /** For control, a gateway may spend this part of a core. */
    static final double CORES_A_FOLLOWER = 0.038;

    static final double MEGABYTES_A_FOLLOWER = 128;
    static final double BYTES_PER_SECOND = 18_000;

    private ControlLimits() {}
}
