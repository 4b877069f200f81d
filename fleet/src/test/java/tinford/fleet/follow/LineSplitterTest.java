package tinford.fleet.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Lines of a stream of bytes, wherever the stream is split. */
public class LineSplitterTest {
    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    public void linesAreTheSameWhereverTheStreamIsSplit() throws Exception {
        String text = "first\n\nsecond line\n\n\nrest";
        for (int piece = 1; piece <= text.length(); piece++) {
            LineSplitter splitter = new LineSplitter(20);
            List<String> lines = new ArrayList<>();
            for (int at = 0; at < text.length(); at += piece) {
                String part = text.substring(at, Math.min(text.length(), at + piece));
                for (byte[] line : splitter.split(List.of(bytes(part), bytes("")))) {
                    lines.add(new String(line, StandardCharsets.US_ASCII));
                }
            }
            assertEquals(lines, List.of("first", "", "second line", "", ""));
        }
    }

    @Test
    public void lineInPiecesIsBounded() throws Exception {
        LineSplitter splitter = new LineSplitter(5);
        assertEquals(splitter.split(List.of(bytes("12345\n123"))).size(), 1);
        splitter.split(List.of(bytes("45")));
        assertThrows(
                LineSplitter.LineTooLongException.class, () -> splitter.split(List.of(bytes("6"))));
    }
}
