package tinford.lab.overload;

import tinford.api.Srv;

/** A server that works off its requests one after the other. */
final class SimulatedServer {
    final Srv identity;
    double freeAt;
    boolean lost;

    SimulatedServer(int number) {
        identity = new Srv("srv-" + number);
    }
}
