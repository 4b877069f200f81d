package tinford.lab.overload;

/**
 * What came of one simulation.
 *
 * @param worth passed over worth asked for first, while servers are lost
 * @param best what one that sees all could pass at most
 * @param dispatches a request, while servers are lost
 * @param triesAtLost dispatches a second at a server that is lost
 * @param deviation between gateways, of the part of worthy requests that passes
 * @param recoveryMs from the servers' return until as much passes as before
 * @param wholeWorth passed over worth asked for, over the whole run
 */
public record OverloadResult(
        double worth,
        double best,
        double dispatches,
        double triesAtLost,
        double deviation,
        double recoveryMs,
        double wholeWorth) {}
