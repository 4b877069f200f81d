package tinford.lab.overload;

import tinford.api.Server;

/** A server that works off its requests one after the other. */
final class SimulatedServer {
    final Server identity;
    double freeAt;
    boolean lost;

    SimulatedServer(int number) {
        identity = new Server("srv-" + number);
    }
}
