package tinford.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the parsers, with input that is split at every byte. */
public class ProtocolTest {
    private static final int MAX_LINE_BYTES = 1 << 20;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String describe(RespReader reader) {
        StringBuilder description = new StringBuilder(reader.isArray() ? "*" : "");
        for (int i = 0; i < reader.elementCount(); i++) {
            description
                    .append(i > 0 ? " " : "")
                    .append(reader.type(i) == 0 ? "null" : (char) reader.type(i) + reader.text(i));
        }
        return description.toString();
    }

    @DataProvider
    public Object[][] values() {
        return new Object[][] {
            {"+PONG\r\n", "+PONG"},
            {"-BUSY 40\r\n", "-BUSY 40"},
            {":12\r\n", ":12"},
            {"$0\r\n\r\n", "$"},
            {"$5\r\na\r\nbc\r\n", "$a\r\nbc"},
            {"$-1\r\n", "null"},
            {"*1\r\n$4\r\nPING\r\n", "*$PING"},
            {"*3\r\n$2\r\nok\r\n$-1\r\n$6\r\ncost=4\r\n", "*$ok null $cost=4"},
            {"*2\r\n$-1\r\n-ERR no\r\n", "*null -ERR no"},
        };
    }

    @Test(dataProvider = "values")
    public void valueIsParsedOnceComplete(String text, String expected) throws ProtocolException {
        byte[] all = bytes("##" + text + "+next\r\n");
        RespReader reader = new RespReader();
        for (int n = 0; n < text.length(); n++) {
            assertEquals(reader.parse(all, 2, 2 + n), 0, "after " + n + " bytes");
        }
        for (int stop = 2 + text.length(); stop <= all.length; stop++) {
            assertEquals(reader.parse(all, 2, stop), text.length());
            assertEquals(describe(reader), expected);
        }
    }

    @DataProvider
    public Object[][] malformedValues() {
        return new Object[][] {
            {"hello\r\n", "a RESP2 value"},
            {"*0\r\n", "an array of 1 to 16 elements"},
            {"*17\r\n", "an array of 1 to 16 elements"},
            {"*-1\r\n", "a length in decimal digits"},
            {"*x\r\n", "a length in decimal digits"},
            {"$1234567890\r\n", "a length of 1 to 9 digits"},
            {"$65537\r\n", "a value of at most 65536 bytes"},
            {"$-2\r\n", "a length of 0 or more, or -1 for a null bulk string"},
            {"$2\r\nabcd", "CR LF after a bulk string"},
            {"*1\r\n*1\r\n$1\r\na\r\n", "a RESP2 value"},
            {"+" + "x".repeat(2000), "a line of under 1024 bytes"},
        };
    }

    @Test(dataProvider = "malformedValues")
    public void malformedValueIsReported(String text, String expected) {
        ProtocolException thrown =
                expectThrows(
                        ProtocolException.class,
                        () -> new RespReader().parse(bytes(text), 0, text.length()));
        assertEquals(thrown.getMessage(), "expected " + expected);
    }

    private static final String TERMS = "c=read,t=gold,d=480,k=5c0f,units=2.5,spread=3,first=1";

    private static ClientCommand command(String... elements) throws ProtocolException {
        StringBuilder text = new StringBuilder("*" + elements.length + "\r\n");
        for (String element : elements) {
            text.append("$").append(element.length()).append("\r\n").append(element).append("\r\n");
        }
        byte[] all = bytes("##" + text);
        RespReader reader = new RespReader();
        int length = reader.parse(all, 2, all.length);
        return new ClientCommand(reader, all, 2, length);
    }

    @Test
    public void commandContainsItsTerms() throws ProtocolException {
        ClientCommand command =
                command(
                        "Q.DO",
                        "00000001b4d65521",
                        "ffffffffaa5c7e2d",
                        TERMS + ",r=1,new=7",
                        "BODY");
        assertEquals(
                Arrays.asList(
                        command.retryable,
                        command.tenant,
                        command.id,
                        command.requestClass,
                        command.plan,
                        command.timeoutMs,
                        command.units,
                        command.fanIn,
                        command.firstGateway,
                        command.markedAsRetry),
                Arrays.asList(
                        false,
                        0x1b4d65521L,
                        0xffffffffaa5c7e2dL,
                        "read",
                        "gold",
                        480.0,
                        2.5,
                        3,
                        1,
                        true));
    }

    @DataProvider
    public Object[][] malformedCommands() {
        String id = "00000001b4d65521";
        return new Object[][] {
            {"Q.GET", id, id, TERMS, "Q.ASK, Q.DO or PING"},
            {"Q.ASK", "200000000", id, TERMS, "customer of 16 hex digits"},
            {"Q.ASK", "0000000200000000", id, TERMS, "a customer below 2^33"},
            {"Q.ASK", id, "xyz", TERMS, "id of 16 hex digits"},
            {"Q.ASK", id, id, "c=read,t=gold", "the terms c, t and d"},
            {"Q.ASK", id, id, "c=read,t=gold,d=soon", "d from 0 to 1000000000"},
            {"Q.ASK", id, id, "c=read,t=gold,d=-1", "d from 0 to 1000000000"},
            {"Q.ASK", id, id, "c=read,t=gold,d=NaN", "d from 0 to 1000000000"},
            {"Q.ASK", id, id, "c=read,t=gold,d=400f", "d from 0 to 1000000000"},
            {"Q.ASK", id, id, "c=read,t=gold,d=1,spread=0", "spread from 1 to 1000000"},
            {"Q.ASK", id, id, "c=read,t=gold,d=1,spread=1.5", "spread to be a whole number"},
            {"Q.ASK", id, id, "c=read,t=gold,d=1,units=0", "units from 0 to 1000000000"},
            {"Q.ASK", id, id, "c=read,t=gold,d=1,units=lots", "units from 0 to 1000000000"},
            {"Q.ASK", id, id, "c=read,t=gold,d=1,first=-1", "first from 0 to 1000000"},
            {"Q.ASK", id, id, "c=read,t=gold,d=1,d=2", "each term at most once"},
            {"Q.ASK", id, "+000000b4d655210", TERMS, "id of 16 hex digits"},
            {"Q.ASK", id, "", TERMS, "id of 16 hex digits"},
            {"Q.ASK", id, id, "c=read,what", "terms as name=value,name=value"},
        };
    }

    @Test(dataProvider = "malformedCommands")
    public void malformedCommandIsReported(
            String verb, String customer, String id, String terms, String expected) {
        ProtocolException thrown =
                expectThrows(ProtocolException.class, () -> command(verb, customer, id, terms));
        assertEquals(thrown.getMessage(), "expected " + expected);
    }

    @DataProvider
    public Object[][] usageReports() {
        return new Object[][] {
            {"used=37,cost=4", "cost", 4.0},
            {"used=37,cost=4", "used", 37.0},
            {"used=37,cost=4", "ost", -1.0},
            {"used=,cost=x", "used", -1.0},
            {"used=,cost=x", "cost", -1.0},
            {"", "cost", -1.0},
            {"cost=NaN", "cost", -1.0},
            {"cost=1e999", "cost", -1.0},
            {"cost=-3", "cost", -1.0},
            {"=,=", "cost", -1.0},
        };
    }

    @DataProvider
    public Object[][] numbers() {
        return new Object[][] {
            {"12", 12.0},
            {"-2.50", -2.5},
            {"+1e3", 1000.0},
            {"0x1p3", Double.NaN},
            {"5d", Double.NaN},
            {"NaN", Double.NaN},
            {"Infinity", Double.NaN},
            {"1e999", Double.NaN},
            {"", Double.NaN},
            {"-", Double.NaN},
            {" 7", Double.NaN},
            {"1-2", Double.NaN},
            {"0".repeat(40), Double.NaN},
        };
    }

    @Test(dataProvider = "numbers")
    public void onlyDecimalNumbersAreParsed(String text, double value) {
        assertEquals(NumberParser.parse(text), value);
    }

    @Test(dataProvider = "usageReports")
    public void usageIsFoundByName(String text, String name, double value) {
        assertEquals(UsageReport.value(text, name, -1), value);
    }

    @Test
    public void loadReportFollowsTheNames() {
        assertEquals(
                UsageReport.loadReport("queue=2,x=9,util=0.61", List.of("util", "queue", "qps")),
                new double[] {0.61, 2, 0});
        assertEquals(UsageReport.loadReport("cost=4", List.of("util")), null);
    }

    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: x\r\nTransfer-Encoding: chunked\r\n\r\n";

    @Test
    public void linesAreFoundForAnyChunkAndReadSize() throws ProtocolException {
        String body = "{\"a\":1}\n\n{\"b\":\"\u00e9\"}\n";
        byte[] text = body.getBytes(StandardCharsets.UTF_8);
        for (int chunk = 1; chunk <= text.length; chunk++) {
            StringBuilder response = new StringBuilder(HEAD);
            for (int at = 0; at < text.length; at += chunk) {
                int n = Math.min(chunk, text.length - at);
                response.append(Integer.toHexString(n))
                        .append(";x=1\r\n")
                        .append(new String(text, at, n, StandardCharsets.ISO_8859_1))
                        .append("\r\n");
            }
            byte[] all = bytes(response + "0\r\n\r\n");
            for (int read = 1; read < all.length; read += 3) {
                List<String> found = new ArrayList<>();
                ChunkedLineReader lines = new ChunkedLineReader(MAX_LINE_BYTES);
                int from = 0;
                for (int to = read;
                        from < all.length && !lines.isComplete();
                        to = Math.min(all.length, to + read)) {
                    from += lines.read(all, from, to, found::add);
                }
                assertTrue(lines.isComplete());
                assertEquals(found, List.of("{\"a\":1}", "", "{\"b\":\"\u00e9\"}"));
            }
        }
    }

    @DataProvider
    public Object[][] malformedResponses() {
        return new Object[][] {
            {"HTTP/1.1 503 Busy\r\n\r\n", "status line HTTP/1.1 200"},
            {
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
                "a response with Transfer-Encoding: chunked"
            },
            {HEAD + "zz\r\n", "a chunk size in hex digits"},
            {HEAD + "-1\r\n", "a chunk size from 0 on"},
            {HEAD + "1\r\nxyz\r\n", "CR LF after the chunk data"},
            {"x".repeat(9000), "a response head or chunk line of under 8192 bytes"},
        };
    }

    @Test(dataProvider = "malformedResponses")
    public void malformedResponseIsReported(String text, String expected) {
        ProtocolException thrown =
                expectThrows(
                        ProtocolException.class,
                        () ->
                                new ChunkedLineReader(MAX_LINE_BYTES)
                                        .read(bytes(text), 0, text.length(), line -> {}));
        assertEquals(thrown.getMessage(), "expected " + expected);
    }

    @DataProvider
    public Object[][] requestHeads() {
        return new Object[][] {
            {"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", "GET /v1/readyz"},
            {
                "POST /v1/servers/s-1/suspend?why=disk HTTP/1.1\nHost: x\n\nbody",
                "POST /v1/servers/s-1/suspend"
            },
            {"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n", null},
            {"", null},
            {"hello\r\n\r\n", "expected METHOD /path HTTP/1.1"},
            {"GET v1 HTTP/1.1\r\n\r\n", "expected METHOD /path HTTP/1.1"},
            {"GET /a b HTTP/1.1\r\n\r\n", "expected METHOD /path HTTP/1.1"},
            {"x".repeat(9000), "expected a request head of under 8192 bytes"},
        };
    }

    @Test(dataProvider = "requestHeads")
    public void requestHeadIsParsedOnceComplete(String text, String expected)
            throws ProtocolException {
        byte[] all = bytes(text);
        int head = Math.max(text.indexOf("\r\n\r\n"), text.indexOf("\n\n"));
        for (int n = 0; head > 0 && n < head; n++) {
            assertEquals(HttpRequestHead.parse(all, 0, n), null);
        }
        try {
            HttpRequestHead request = HttpRequestHead.parse(all, 0, all.length);
            assertEquals(request == null ? null : request.method + " " + request.path, expected);
        } catch (ProtocolException e) {
            assertEquals(e.getMessage(), expected);
        }
    }
}
