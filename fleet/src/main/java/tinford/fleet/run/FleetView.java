package tinford.fleet.run;

import tinford.api.End;
import tinford.api.Req;
import tinford.api.Srv;
import tinford.api.View;

/** The view that the decisions see, of those parts of the fleet that are on; what is off bounds nothing. */
final class FleetView extends View {
    private final View overload;

    /** @param overload null where it is off */
    FleetView(View overload) {
        this.overload = overload == null ? new View() : overload;
    }

    @Override
    public double part(double worth) {
        return overload.part(worth);
    }

    @Override
    public double further(double own) {
        return overload.further(own);
    }

    @Override
    public boolean looksAfter(Srv srv) {
        return overload.looksAfter(srv);
    }

    @Override
    public double spread() {
        return overload.spread();
    }

    @Override
    public void asked(Req req, double worth) {
        overload.asked(req, worth);
    }

    @Override
    public void denied(Req req, double worth) {
        overload.denied(req, worth);
    }

    @Override
    public void sent(Req req, Srv srv, double worth, boolean further) {
        overload.sent(req, srv, worth, further);
    }

    @Override
    public void ended(Req req, Srv srv, End how, boolean late) {
        overload.ended(req, srv, how, late);
    }

    @Override
    public void ill(Srv srv, boolean ill) {
        overload.ill(srv, ill);
    }
}
