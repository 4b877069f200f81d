package tinford.routing.upstream;

import tinford.transport.CloseReason;

/** Where a streamed response comes from, as its client's side sees it. */
public interface ResponseSource {
    /** The client can take more of the response. */
    void resume();

    /** The client takes no more of the response. */
    void close(CloseReason reason);
}
