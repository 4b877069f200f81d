package tinford.routing.upstream;

import tinford.transport.CloseReason;

/** The source of a streamed response, controlled by the client connection that receives it. */
public interface ResponseSource {
    /** Continues the stream: the client connection can accept more bytes. */
    void resume();

    /** Ends the stream: the client connection accepts no more bytes. */
    void close(CloseReason reason);
}
