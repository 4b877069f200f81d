package tinford.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.core.JsonFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The limits on how much of an endpoint list is buffered while it is received. */
public class EndpointListBoundsTest {
    private static final int MAX_BYTES = 1 << 20;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n";

    @DataProvider
    public Object[][] endlessInputs() {
        return new Object[][] {
            {" "}, {"{\"seq\":43,\"x\":\""}, {"{\"seq\":43,\n"}, {"{\"a\":[\n\n"}
        };
    }

    /** A line, or an object over several lines, that never ends must be rejected at the limit. */
    @Test(dataProvider = "endlessInputs")
    public void endlessInputIsRejected(String start) throws ProtocolException {
        ChunkedLineReader lines = new ChunkedLineReader(MAX_BYTES);
        JsonObjectSplitter objects = new JsonObjectSplitter(new JsonFactory(), MAX_BYTES);
        AtomicInteger received = new AtomicInteger();
        ProtocolException[] failure = new ProtocolException[1];
        byte[] head = (HEAD + start).getBytes(StandardCharsets.ISO_8859_1);
        byte[] more =
                (start.contains("\n") ? "      \n" : "       ")
                        .repeat(100)
                        .getBytes(StandardCharsets.ISO_8859_1);
        ProtocolException thrown =
                expectThrows(
                        ProtocolException.class,
                        () -> {
                            lines.read(
                                    head,
                                    0,
                                    head.length,
                                    line -> failure[0] = addLineExpectingFailure(objects, line));
                            // white space around the lines of an object is not buffered
                            while (received.addAndGet(more.length) < 2 * MAX_BYTES * 7) {
                                lines.read(
                                        more,
                                        0,
                                        more.length,
                                        line ->
                                                failure[0] =
                                                        addLineExpectingFailure(objects, line));
                                if (failure[0] != null) {
                                    throw failure[0];
                                }
                            }
                        });
        assertTrue(
                thrown.getMessage().contains("under " + MAX_BYTES + " bytes"), thrown.getMessage());
        assertTrue(received.get() <= 7 * (MAX_BYTES + more.length), "after " + received);
    }

    private static ProtocolException addLineExpectingFailure(
            JsonObjectSplitter objects, String line) {
        try {
            objects.addLine(line);
            return null;
        } catch (ProtocolException e) {
            return e;
        }
    }

    @DataProvider
    public Object[][] heaps() {
        return new Object[][] {
            // heap size in MiB, limit of the list in KiB (1 to 16 MiB)
            {8, 1024}, {28, 1024}, {38, 1216}, {57, 1824}, {307, 9824}, {4096, 16_384}
        };
    }

    @Test(dataProvider = "heaps")
    public void limitDependsOnTheHeapSize(int heapMib, int limitKib) {
        assertEquals(EndpointListLimit.maxBytes((long) heapMib << 20), limitKib << 10);
    }

    /** A list of 4096 servers must fit the lowest limit. */
    @Test
    public void largeListOverSeveralLinesIsRead() throws ProtocolException {
        StringBuilder list = new StringBuilder("{\"seq\":43,\"whole\":true,\"hosts\":[");
        for (int i = 0; i < 4096; i++) {
            list.append(i == 0 ? "\n" : ",\n")
                    .append("  {\"host\": \"s-")
                    .append(Integer.toHexString(0x5be2a07c + i))
                    .append(
                            "\", \"dial\": \"10.100.100.18:16379\",\n"
                                + "   \"site\": \"zone-a\", \"class\": \"m2\", \"block\": 113,\n"
                                + "   ")
                    .append(
                            "\"health\": \"draining\", \"share\": 1.0, \"born_ms\":"
                                    + " 1764600000000}");
        }
        JsonObjectSplitter objects = new JsonObjectSplitter(new JsonFactory(), MAX_BYTES);
        String object = null;
        for (String line : list.append("\n]}").toString().split("\n")) {
            assertEquals(object, null);
            object = objects.addLine(line.strip());
        }
        assertTrue(
                object.endsWith("]}\n") && object.length() > 600_000, "length " + object.length());
    }

    /**
     * 6000 servers on one line, as discovery sends them, must fit the limit on a 128 MB machine.
     */
    @Test
    public void largestFleetFitsSmallHeap() throws ProtocolException {
        int limit = EndpointListLimit.maxBytes(38L << 20);
        String list = listOf(6000);
        byte[] response = (HEAD + list + "\n").getBytes(StandardCharsets.ISO_8859_1);
        JsonObjectSplitter objects = new JsonObjectSplitter(new JsonFactory(), limit);
        String[] read = new String[1];
        new ChunkedLineReader(limit)
                .read(response, 0, response.length, line -> read[0] = addLine(objects, line));
        assertEquals(read[0], list);
        assertTrue(list.length() > 850_000, "length " + list.length());
    }

    @Test
    public void objectsOnOneLineAndOverSeveralLinesMayAlternate() throws ProtocolException {
        JsonObjectSplitter objects = new JsonObjectSplitter(new JsonFactory(), MAX_BYTES);
        for (int i = 0; i < 3; i++) {
            assertEquals(objects.addLine("{\"a\":1}"), "{\"a\":1}");
            assertEquals(objects.addLine(""), "");
            assertEquals(objects.addLine("{\"a\":"), null);
            assertEquals(objects.addLine(""), null);
            assertEquals(objects.addLine("1}"), "{\"a\":\n\n1}\n");
        }
    }

    @Test
    public void longLineDoesNotAffectNextLine() throws ProtocolException {
        List<String> read = new ArrayList<>();
        String longLine = "x".repeat(200_000);
        String text = "a\n" + longLine + "\nb\n" + longLine + "\n\n";
        byte[] response = (HEAD + text).getBytes(StandardCharsets.ISO_8859_1);
        new ChunkedLineReader(MAX_BYTES).read(response, 0, response.length, read::add);
        assertEquals(read, List.of("a", longLine, "b", longLine, ""));
    }

    private static String addLine(JsonObjectSplitter objects, String line) {
        try {
            return objects.addLine(line);
        } catch (ProtocolException e) {
            throw new AssertionError(e);
        }
    }

    private static String listOf(int servers) {
        StringBuilder list = new StringBuilder("{\"seq\":43,\"whole\":true,\"hosts\":[");
        for (int i = 0; i < servers; i++) {
            list.append(i == 0 ? "" : ",")
                    .append("{\"host\":\"s-")
                    .append(Integer.toHexString(0x5be2a07c + i))
                    .append("\",\"dial\":\"10.100.100.118:16379\",\"site\":\"zone-a\",")
                    .append("\"class\":\"m2\",\"block\":113,\"health\":\"draining\",")
                    .append("\"share\":1.0,\"born_ms\":1764600000000}");
        }
        return list.append("]}").toString();
    }
}
