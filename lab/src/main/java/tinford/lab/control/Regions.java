package tinford.lab.control;

/** The two regions of a run, and who runs in which. */
final class Regions {
    /** Has the majority of the voters. */
    static final String EAST = "east";

    /** Is cut off, when the regions are. */
    static final String WEST = "west";

    private Regions() {}

    /** The majority of the voters in the east; replicas fill both up to the same number. */
    static String ofServer(ControlSize size, int server) {
        int eastVoters = size.voters() / 2 + 1;
        if (server < size.voters()) {
            return server < eastVoters ? EAST : WEST;
        }
        return (server - size.voters()) % 2 == 0 ? WEST : EAST;
    }

    /** The first half of some followers runs in the east. */
    static String ofFollower(int number, int count) {
        return number < (count + 1) / 2 ? EAST : WEST;
    }
}
