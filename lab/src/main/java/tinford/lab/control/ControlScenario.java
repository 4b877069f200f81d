package tinford.lab.control;

import java.util.Locale;

/** What happens in a control run beside drawn changes. */
enum ControlScenario {
    /** Nothing; real gateways are under load, and their plan changes and changes back. */
    CALM(210),
    /** A hundred changes in ten seconds. */
    BURST(30),
    /** A voter that does not lead is killed and started again with its disk. */
    SERVER_KILLED(60),
    /** The leader stands still past its lease and goes on. */
    LEADER_PAUSED(60),
    /** The regions lose each other for a minute. */
    REGIONS_CUT(100),
    /** A tenth of the followers is started again at once, with their last good snapshot. */
    RESTART_WITH_DISK(45),
    /** The same, and their disks are lost. */
    RESTART_WITHOUT_DISK(45),
    /** Followers ask for everything and read nothing. */
    FOLLOWER_STALLED(60),
    /** One follower can't apply a change, until it is taken back. */
    CHANGE_REFUSED(50);

    private final double seconds;

    ControlScenario(double seconds) {
        this.seconds = seconds;
    }

    /** How long changes are entered. */
    double seconds() {
        return seconds;
    }

    /** As on the command line and in file names. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
