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

/**
 * How much of a list is kept while it comes: all that a fleet needs, and a small part of the least
 * heap.
 */
public class ListBoundsTest {
    private static final int MOST = 1 << 20;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n";

    @DataProvider
    public Object[][] endless() {
        return new Object[][] {
            {" "}, {"{\"seq\":43,\"x\":\""}, {"{\"seq\":43,\n"}, {"{\"a\":[\n\n"}
        };
    }

    /**
     * A line without end, and an object over lines without end: refused before more has come than
     * is kept of one.
     */
    @Test(dataProvider = "endless")
    public void whatNeverEndsIsRefused(String start) throws ProtocolException {
        ChunkedLineReader lines = new ChunkedLineReader(MOST);
        JsonObjectSplitter objects = new JsonObjectSplitter(new JsonFactory(), MOST);
        AtomicInteger came = new AtomicInteger();
        ProtocolException[] bad = new ProtocolException[1];
        byte[] head = (HEAD + start).getBytes(StandardCharsets.ISO_8859_1);
        byte[] more =
                (start.contains("\n") ? "      \n" : "       ")
                        .repeat(100)
                        .getBytes(StandardCharsets.ISO_8859_1);
        ProtocolException m =
                expectThrows(
                        ProtocolException.class,
                        () -> {
                            lines.read(
                                    head, 0, head.length, line -> bad[0] = refusal(objects, line));
                            while (came.addAndGet(more.length)
                                    < 2 * MOST
                                            * 7) { // of an object over lines their blanks are not
                                // kept
                                lines.read(
                                        more,
                                        0,
                                        more.length,
                                        line -> bad[0] = refusal(objects, line));
                                if (bad[0] != null) {
                                    throw bad[0];
                                }
                            }
                        });
        assertTrue(m.getMessage().contains("under " + MOST + " bytes"), m.getMessage());
        assertTrue(came.get() <= 7 * (MOST + more.length), "after " + came);
    }

    private static ProtocolException refusal(JsonObjectSplitter objects, String line) {
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
            // MiB of heap; KiB of the longest list: never less than before, and never more than 16
            // MiB
            {8, 1024}, {28, 1024}, {38, 1216}, {57, 1824}, {307, 9824}, {4096, 16_384}
        };
    }

    @Test(dataProvider = "heaps")
    public void theLimitFollowsTheHeap(int heap, int limit) {
        assertEquals(EndpointListLimit.maxBytes((long) heap << 20), limit << 10);
    }

    /** Four thousand servers, spread over lines: read whole within the least limit. */
    @Test
    public void aLargeListIsRead() throws ProtocolException {
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
        JsonObjectSplitter objects = new JsonObjectSplitter(new JsonFactory(), MOST);
        String whole = null;
        for (String line : list.append("\n]}").toString().split("\n")) {
            assertEquals(whole, null);
            whole = objects.addLine(line.strip());
        }
        assertTrue(whole.endsWith("]}\n") && whole.length() > 600_000, "of " + whole.length());
    }

    /**
     * Six thousand servers on one line, as discovery sends them, fit what a machine of 128 MB
     * reads.
     */
    @Test
    public void theLargestFleetFitsASmallHeap() throws ProtocolException {
        int limit = EndpointListLimit.maxBytes(38L << 20);
        String list = listOf(6000);
        byte[] answer = (HEAD + list + "\n").getBytes(StandardCharsets.ISO_8859_1);
        JsonObjectSplitter objects = new JsonObjectSplitter(new JsonFactory(), limit);
        String[] read = new String[1];
        new ChunkedLineReader(limit)
                .read(answer, 0, answer.length, line -> read[0] = whole(objects, line));
        assertEquals(read[0], list);
        assertTrue(list.length() > 850_000, "of " + list.length());
    }

    /** Objects in one line and over several may follow one another. */
    @Test
    public void objectsInOneLineAndOverSeveralTakeTurns() throws ProtocolException {
        JsonObjectSplitter objects = new JsonObjectSplitter(new JsonFactory(), MOST);
        for (int i = 0; i < 3; i++) {
            assertEquals(objects.addLine("{\"a\":1}"), "{\"a\":1}");
            assertEquals(objects.addLine(""), "");
            assertEquals(objects.addLine("{\"a\":"), null);
            assertEquals(objects.addLine(""), null);
            assertEquals(objects.addLine("1}"), "{\"a\":\n\n1}\n");
        }
    }

    /** A long line leaves nothing behind that shortens or spoils the next. */
    @Test
    public void aLongLineIsFollowedByShortOnes() throws ProtocolException {
        List<String> read = new ArrayList<>();
        String longLine = "x".repeat(200_000);
        String text = "a\n" + longLine + "\nb\n" + longLine + "\n\n";
        byte[] answer = (HEAD + text).getBytes(StandardCharsets.ISO_8859_1);
        new ChunkedLineReader(MOST).read(answer, 0, answer.length, read::add);
        assertEquals(read, List.of("a", longLine, "b", longLine, ""));
    }

    private static String whole(JsonObjectSplitter objects, String line) {
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
