package tinford.lab.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Every request has one final answer: none twice, none lost but by a gateway that was killed, stood
 * still or ended while it was out.
 */
final class FinalAnswerPromise implements Promise {
    private final Map<String, History.Line> asked = new HashMap<>();
    private final Map<String, History.Line> answered = new HashMap<>();

    @Override
    public void see(History.Line l, IncarnationTracker lives, Finds finds) {
        String request = l.text("req");
        if (l.kind().equals("asked")) {
            asked.put(request, l);
        } else if (l.kind().equals("answered")) {
            History.Line before = answered.put(request, l);
            History.Line ask = asked.get(request);
            String how = l.text("how");
            if (how.equals("again")) {
                finds.breach(
                        "gateway " + l.number("via") + " answered once more than it was asked",
                        List.of(l));
            } else if (ask == null) {
                finds.breach("req " + request + " was answered and never asked", List.of(l));
            } else if (before != null) {
                finds.breach("req " + request + " has two final answers", List.of(ask, before, l));
            } else if (how.equals("strange")) {
                finds.breach("req " + request + " has an answer that is none", List.of(ask, l));
            } else if (how.equals("nothing") && lives.undisturbed(ask.number("via"), ask.at())) {
                finds.breach("req " + request + " has no answer", List.of(ask, l));
            }
        }
    }
}
