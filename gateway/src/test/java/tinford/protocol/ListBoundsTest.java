package tinford.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.core.JsonFactory;
import java.nio.charset.StandardCharsets;
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
    public void whatNeverEndsIsRefused(String start) throws Malformed {
        HttpLines lines = new HttpLines();
        JsonLines objects = new JsonLines(new JsonFactory());
        AtomicInteger came = new AtomicInteger();
        Malformed[] bad = new Malformed[1];
        byte[] head = (HEAD + start).getBytes(StandardCharsets.ISO_8859_1);
        byte[] more =
                (start.contains("\n") ? "      \n" : "       ")
                        .repeat(100)
                        .getBytes(StandardCharsets.ISO_8859_1);
        Malformed m =
                expectThrows(
                        Malformed.class,
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

    private static Malformed refusal(JsonLines objects, String line) {
        try {
            objects.take(line);
            return null;
        } catch (Malformed e) {
            return e;
        }
    }

    /** As many servers as are kept in mind, spread over lines: read whole. */
    @Test
    public void aLargeListIsRead() throws Malformed {
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
        JsonLines objects = new JsonLines(new JsonFactory());
        String whole = null;
        for (String line : list.append("\n]}").toString().split("\n")) {
            assertEquals(whole, null);
            whole = objects.take(line.strip());
        }
        assertTrue(whole.endsWith("]}\n") && whole.length() > 600_000, "of " + whole.length());
    }
}
