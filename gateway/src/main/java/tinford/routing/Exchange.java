package tinford.routing;

import java.util.ArrayList;
import java.util.List;
import tinford.api.Customer;
import tinford.api.Frontend;
import tinford.api.Req;
import tinford.protocol.Ask;

/** A req at the door: whose it is, its place in the order of answers, and its dispatches. */
final class Exchange extends Req {
    final ClientLink client;
    final Ask ask;
    final Slot slot = new Slot();
    final List<Dispatch> dispatches = new ArrayList<>(1);

    /** It has its final answer, or nobody waits for one. */
    boolean over;

    Exchange(ClientLink client, Ask ask, Frontend frontend, Customer customer, double expires) {
        super(ask.id, frontend, customer, expires, ask.units, ask.resent);
        this.client = client;
        this.ask = ask;
        slot.exchange = this;
    }

    @Override
    public boolean gone() {
        return client.gone();
    }
}
