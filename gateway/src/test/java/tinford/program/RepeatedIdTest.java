package tinford.program;

import static org.testng.Assert.assertEquals;
import static tinford.program.Wire.command;
import static tinford.program.Wire.idOf;
import static tinford.program.Wire.readCommand;
import static tinford.program.Wire.requestId;
import static tinford.program.Wire.terms;
import static tinford.program.Wire.valueReply;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a request that runs twice as its client left and sent it again. */
public class RepeatedIdTest extends GatewayFixture {
    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"write", ""},
            {"marked", ",k=5c0f6e1a2b3d4c59"},
        };
    }

    /** The id was forgotten with its connection, and the request was sent to a second server. */
    @Test(dataProvider = "requests")
    public void requestOfAClientThatLeftIsNotSentAgain(String requestClass, String key)
            throws Exception {
        TestConnection client = startGateway();
        String request =
                command("Q.DO", requestId(7), requestId(1), terms(requestClass, key), "once");
        client.send(request);
        TestConnection server = accept(servers[0]);
        assertEquals(idOf(server.receive()), requestId(1));
        client.socket.close();
        TestConnection again = connectClient();
        awaitConnectionReuse(again); // by then the close has been read
        assertEquals(again.send(request).receive(), "-ERR aborted");
        server.send(valueReply("done"));
        awaitConnectionReuse(again);
        assertEquals(again.send(request).receive(), "-ERR aborted");
        again.send(command("Q.DO", requestId(7), requestId(2), terms("write", "")));
        assertEquals(idOf(server.receive()), requestId(2)); // the next command that a server gets
        server.send(valueReply("next"));
        assertEquals(again.receive(), "next");
    }

    /** The same for an answer that was kept behind an earlier one, and was never written. */
    @Test
    public void requestWhoseAnswerWasNotWrittenIsNotSentAgain() throws Exception {
        TestConnection client = startGateway();
        String request = command("Q.DO", requestId(7), requestId(2), terms("write", ""), "once");
        client.send(readCommand(1) + request);
        TestConnection first = accept(servers[0]);
        TestConnection second = accept(servers[0]);
        boolean isFirst = idOf(first.receive()).equals(requestId(1));
        second.receive();
        (isFirst ? second : first).send(valueReply("done"));
        TestConnection again = connectClient();
        awaitConnectionReuse(again);
        client.socket.close();
        awaitConnectionReuse(again);
        assertEquals(again.send(request).receive(), "-ERR aborted");
        again.send(command("Q.DO", requestId(7), requestId(3), terms("write", "")));
        assertEquals(idOf((isFirst ? second : first).receive()), requestId(3));
    }

    /** A request that may be repeated is sent again. */
    @Test
    public void readOfAClientThatLeftIsSentAgain() throws Exception {
        TestConnection client = startGateway();
        client.send(readCommand(1));
        TestConnection server = accept(servers[0]);
        server.receive();
        client.socket.close();
        TestConnection again = connectClient();
        awaitConnectionReuse(again);
        answerAll(servers[0]);
        assertEquals(again.send(readCommand(1)).receive(), "for " + requestId(1));
    }
}
