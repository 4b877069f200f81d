package tinford.routing;

import java.util.ArrayList;
import java.util.List;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Tenant;
import tinford.protocol.ClientCommand;

/** A req at the door: whose it is, its place in the order of answers, and its dispatches. */
final class ClientRequest extends Request {
    final ClientConnection client;
    final ClientCommand ask;
    final ResponseSlot slot = new ResponseSlot();
    final List<ServerAttempt> dispatches = new ArrayList<>(1);

    /** It has its final answer, or nobody waits for one. */
    boolean over;

    ClientRequest(
            ClientConnection client,
            ClientCommand ask,
            RequestClass frontend,
            Tenant customer,
            double expires) {
        super(ask.id, frontend, customer, expires, ask.units, ask.markedAsRetry);
        this.client = client;
        this.ask = ask;
        slot.exchange = this;
    }

    @Override
    public boolean clientGone() {
        return client.gone();
    }
}
