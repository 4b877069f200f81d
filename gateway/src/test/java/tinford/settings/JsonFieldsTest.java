package tinford.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.core.JsonFactory;
import java.util.List;
import java.util.function.Function;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Parses JSON objects and checks the types and ranges of their fields. */
public class JsonFieldsTest {
    private static JsonFields parse(String text) {
        return JsonFields.of(new JsonFactory(), "source", text);
    }

    /** An object with a field of nested arrays. */
    private static String nested(int levels) {
        int arrays = levels - 1;
        return "{\"a\":" + "[".repeat(arrays) + "]".repeat(arrays) + "}";
    }

    @DataProvider
    Object[][] invalidTexts() {
        return new Object[][] {
            {"", "source: text: expected a JSON object"},
            {"[]", "source: text: expected a JSON object"},
            {"{\"a\":", "source: text: expected JSON"},
            {"{} {}", "source: text: expected nothing after the object"},
            {nested(65), "source: text: expected JSON of at most 64 levels"},
        };
    }

    @Test(dataProvider = "invalidTexts")
    public void invalidTextIsRejected(String text, String message) {
        InvalidSettingsException exception =
                expectThrows(InvalidSettingsException.class, () -> parse(text));
        assertEquals(exception.getMessage(), message);
    }

    @Test
    public void nestingUpToTheLimitIsAccepted() {
        assertTrue(parse(nested(64)).has("a"));
    }

    @Test
    public void nullCountsAsAbsent() {
        JsonFields fields = parse("{\"a\":null}");
        assertFalse(fields.has("a"));
        assertFalse(fields.flag("a"));
        assertEquals(fields.integer("a", 7), 7);
        assertEquals(fields.count("a", 1, 7), 7);
        assertEquals(fields.number("a", 0.5), 0.5);
        assertEquals(fields.nonNegative("a", 0.5), 0.5);
        assertEquals(fields.millis("a"), 0.0);
        assertNull(fields.numbers("a"));
        assertFalse(fields.objectOrEmpty("a").has("b"));
    }

    @Test
    public void timesAreConvertedFromMicroseconds() {
        JsonFields fields = parse("{\"a\":1500,\"b\":0}");
        assertEquals(fields.millis("a"), 1.5);
        assertEquals(fields.millis("a", 9), 1.5);
        assertEquals(fields.millis("b"), 0.0);
        assertEquals(fields.millis("b", 9), 9.0);
    }

    @Test
    public void arraysAndObjectsAreRead() {
        JsonFields fields =
                parse("{\"n\":[1,2.5],\"t\":[\"x\"],\"o\":[{\"k\":1}],\"p\":{\"k\":2}}");
        assertEquals(fields.numbers("n"), new double[] {1, 2.5});
        assertEquals(fields.texts("t"), List.of("x"));
        assertEquals(fields.objects("o").get(0).integer("k"), 1);
        assertEquals(fields.object("p").integer("k"), 2);
    }

    @Test
    public void wholeNumberBeyondALongIsANumber() {
        assertEquals(parse("{\"a\":100000000000000000000}").number("a"), 1e20);
    }

    @Test
    public void valuesOfAFieldAreCompared() {
        JsonFields fields = parse("{\"a\":[1,{\"b\":2}]}");
        assertTrue(fields.sameValue(parse("{\"a\":[1,{\"b\":2}]}"), "a"));
        assertFalse(fields.sameValue(parse("{\"a\":[1,{\"b\":3}]}"), "a"));
        assertFalse(fields.sameValue(parse("{}"), "a"));
        assertTrue(fields.sameValue(parse("{}"), "c"));
    }

    /** Value of the field "a", how it is read, what is expected instead. */
    @DataProvider
    Object[][] invalidValues() {
        return new Object[][] {
            {"1", reading(fields -> fields.text("a")), "a text"},
            {"1", reading(fields -> fields.flag("a")), "true or false"},
            {"1.0", reading(fields -> fields.integer("a")), "a whole number"},
            {"100000000000000000000", reading(fields -> fields.integer("a")), "a whole number"},
            {"2", reading(fields -> fields.count("a", 3)), "a whole number from 3 to 2147483647"},
            {
                "2147483648",
                reading(fields -> fields.count("a", 3)),
                "a whole number from 3 to 2147483647"
            },
            {"\"1\"", reading(fields -> fields.number("a")), "a number"},
            {"-1", reading(fields -> fields.nonNegative("a", 0)), "a number from 0 on"},
            {"1e999", reading(fields -> fields.nonNegative("a", 0)), "a number from 0 on"},
            {"0", reading(fields -> fields.positive("a")), "a number above 0"},
            {"-1", reading(fields -> fields.millis("a")), "a number from 0 on"},
            {"[\"1\"]", reading(fields -> fields.numbers("a")), "an array of numbers"},
            {"1", reading(fields -> fields.numbers("a")), "an array of numbers"},
            {"[1]", reading(fields -> fields.texts("a")), "an array of texts"},
            {"null", reading(fields -> fields.texts("a")), "an array of texts"},
            {"[]", reading(fields -> fields.object("a")), "an object"},
            {"[]", reading(fields -> fields.objectOrEmpty("a")), "an object"},
            {"{}", reading(fields -> fields.objects("a")), "an array of objects"},
            {"[1]", reading(fields -> fields.objects("a")), "an array of objects"},
        };
    }

    private static Function<JsonFields, Object> reading(Function<JsonFields, Object> reading) {
        return reading;
    }

    @Test(dataProvider = "invalidValues")
    public void invalidValueIsNamedByItsPath(
            String value, Function<JsonFields, Object> reading, String expected) {
        JsonFields outermost = parse("{\"a\":" + value + "}");
        assertMessage(outermost, reading, "source: a: expected " + expected);
        JsonFields inner = parse("{\"o\":{\"a\":" + value + "}}").object("o");
        assertMessage(inner, reading, "source: o.a: expected " + expected);
    }

    private static void assertMessage(
            JsonFields fields, Function<JsonFields, Object> reading, String message) {
        InvalidSettingsException exception =
                expectThrows(InvalidSettingsException.class, () -> reading.apply(fields));
        assertEquals(exception.getMessage(), message);
    }
}
