package tinford.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.core.JsonFactory;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptLimits;
import tinford.api.CounterSettings;
import tinford.api.DecisionModule;
import tinford.api.DeduplicationScope;
import tinford.api.GatewayIdentity;
import tinford.api.Idempotency;
import tinford.api.Objectives;
import tinford.api.Plan;
import tinford.api.RequestClass;
import tinford.api.SlowStartRules;

/** Reads settings objects with absent, unknown, unusual and invalid fields. */
public class SettingsReaderTest {
    /** The settings with the fewest fields that a gateway starts with. */
    private static final String MINIMAL_SETTINGS =
            "{\"Classes\":[{\"Name\":\"a\",\"HardLimitUs\":4000000,\"Effect\":\"read_like\"},"
                + "{\"Name\":\"k\",\"HardLimitUs\":5000000,\"Effect\":\"idempotency_key\"}],"
                + "\"Limits\":{\"MaxAttempts\":3},"
                + "\"NInstances\":2,\"Rules\":{\"FallMultiple\":2},\"Tariffs\":[{\"Name\":\"p\"}]}";

    private SlowStartRules createdWithSlowStart;
    private Objectives createdWithObjectives;

    /** Records what a decision module would be created with. */
    private DecisionModule recordCreation(
            long seed,
            GatewayIdentity identity,
            AttemptLimits limits,
            SlowStartRules slowStart,
            CounterSettings counter,
            Objectives objectives,
            boolean watchRequired) {
        createdWithSlowStart = slowStart;
        createdWithObjectives = objectives;
        return null;
    }

    private static JsonFields parse(String text) {
        return JsonFields.of(new JsonFactory(), "configuration", "{\"settings\":" + text + "}")
                .object("settings");
    }

    /** Reads everything that a gateway reads at its start. */
    private void readAll(JsonFields settings) {
        SettingsReader.requestClasses(settings);
        SettingsReader.plans(settings);
        SettingsReader.connectTimeoutMs(settings);
        SettingsReader.idleTimeoutMs(settings);
        SettingsReader.maxOpenRequests(settings);
        SettingsReader.maxRequestUnits(settings);
        SettingsReader.createModule(this::recordCreation, 1, settings);
    }

    @Test
    public void absentFieldsHaveDefaults() {
        JsonFields settings = parse(MINIMAL_SETTINGS);
        readAll(settings);
        assertRequestClassDefaults(SettingsReader.requestClasses(settings));
        assertPlanDefaults(SettingsReader.plans(settings).get("p"));
        assertLimitDefaults(settings);
        assertModuleDefaults();
    }

    private static void assertRequestClassDefaults(Map<String, RequestClass> classes) {
        RequestClass idempotent = classes.get("a");
        RequestClass keyed = classes.get("k");
        assertEquals(idempotent.latencyObjectiveMs, 4000.0);
        assertEquals(idempotent.timeoutMs, 4000.0);
        assertEquals(idempotent.priorityWeight, 1.0);
        assertEquals(idempotent.lateWeight, 0.0);
        assertEquals(idempotent.idempotency, Idempotency.IDEMPOTENT);
        assertEquals(keyed.latencyObjectiveMs, 5000.0);
        assertEquals(keyed.deduplicationWindowMs, 0.0, "no retry where it may have run");
        assertEquals(keyed.deduplicationScope, DeduplicationScope.CELL);
    }

    private static void assertPlanDefaults(Plan plan) {
        assertEquals(plan.quotaPerMs, 0.0);
        assertEquals(plan.maxOpenRequests, 0);
        assertEquals(plan.hardLimitPerMs, 0.0);
        assertEquals(plan.priorityWeight, 1.0);
        assertEquals(plan.overQuotaWeight, 0.0);
        assertEquals(plan.overQuotaCost, 0.0);
    }

    private static void assertLimitDefaults(JsonFields settings) {
        assertEquals(
                SettingsReader.attemptLimits(settings),
                new AttemptLimits(3, false, false, false, false, 0));
        CounterSettings counter = SettingsReader.counterSettings(settings);
        assertFalse(counter.present());
        assertFalse(counter.postPaid());
        assertFalse(SettingsReader.watchRequired(settings));
        assertEquals(SettingsReader.gatewayIdentity(settings).zone(), "");
        assertEquals(SettingsReader.connectTimeoutMs(settings), 1000.0);
        assertEquals(SettingsReader.idleTimeoutMs(settings), 600_000.0);
        assertEquals(SettingsReader.maxOpenRequests(settings), 20_000);
        assertEquals(SettingsReader.maxRequestUnits(settings), 1e9);
    }

    private void assertModuleDefaults() {
        assertEquals(createdWithSlowStart.initialCapacityShare(), 0.0);
        assertEquals(createdWithSlowStart.warmUpMs(), 30_000.0);
        assertEquals(createdWithSlowStart.overloadMultiple(), 2.0);
        assertEquals(createdWithObjectives, new Objectives(1, 0));
    }

    /** A part of the minimal settings, and what replaces it. */
    @DataProvider
    public Object[][] unusualSettings() {
        return new Object[][] {
            {
                "\"NInstances\":2",
                "\"NInstances\":2,\"New\":{\"x\":[1,null,{}]},\"Az\":null,\"Specifics\":null,\"LoadInfo\":null"
            },
            {
                "\"MaxAttempts\":3",
                "\"MaxAttempts\":1,\"RetryAfter\":true,\"OpenCap\":0,\"KeepaliveUs\":0,\"ConnectTimeoutUs\":0"
            },
            {
                "\"Name\":\"a\"",
                "\"Name\":\"\u00e1 b,c=\",\"Group\":\"any\",\"WindowUs\":1,\"AimStretch\":2.5"
            },
            {
                "\"Name\":\"p\"",
                "\"Name\":\"p\",\"QuotaRate\":1e-3,\"MostAtOnce\":1e30,\"MaxOut\":1e12"
            },
            {
                "\"Name\":\"p\"}]",
                "\"Name\":\"p\",\"CapRate\":0,\"CapDepth\":0}],\"Discovery\":\"pushed\""
            },
            {"\"HardLimitUs\":4000000", "\"HardLimitUs\":1e300,\"OnTimeUs\":0"},
        };
    }

    @Test(dataProvider = "unusualSettings")
    public void unknownFieldsAndUnusualValuesAreAccepted(String part, String replacement) {
        assertTrue(MINIMAL_SETTINGS.contains(part));
        readAll(parse(MINIMAL_SETTINGS.replace(part, replacement)));
    }

    @DataProvider
    public Object[][] invalidSettings() {
        return new Object[][] {
            {"\"HardLimitUs\":4000000,", "", "Classes.HardLimitUs: expected a number"},
            {
                "\"HardLimitUs\":4000000",
                "\"HardLimitUs\":0",
                "Classes.HardLimitUs: expected a number above 0"
            },
            {
                "\"HardLimitUs\":4000000",
                "\"HardLimitUs\":1e999",
                "Classes.HardLimitUs: expected a number above 0"
            },
            {
                "\"HardLimitUs\":4000000",
                "\"HardLimitUs\":4000000,\"OnTimeUs\":-1",
                "Classes.OnTimeUs: expected a number from 0 on"
            },
            {
                "\"HardLimitUs\":4000000",
                "\"HardLimitUs\":4000000,\"WindowUs\":\"3\"",
                "Classes.WindowUs: expected a number"
            },
            {
                "\"read_like\"",
                "\"idempotent\"",
                "Classes.Effect: expected read_like, idempotency_key or non_idempotent"
            },
            {
                "\"idempotency_key\"",
                "\"idempotency_key\",\"Group\":\"region\"",
                "Classes.Group: expected all, zone or cell"
            },
            {"\"Name\":\"a\",", "", "Classes.Name: expected a text"},
            {"[{\"Name\":\"p\"}]", "{\"Name\":\"p\"}", "Tariffs: expected an array of objects"},
            {"[{\"Name\":\"p\"}]", "[null]", "Tariffs: expected an array of objects"},
            {
                "\"Name\":\"p\"",
                "\"Name\":\"p\",\"QuotaRate\":1",
                "Tariffs.MostAtOnce: expected a number"
            },
            {
                "\"Name\":\"p\"",
                "\"Name\":\"p\",\"QuotaRate\":1,\"MostAtOnce\":0",
                "Tariffs.MostAtOnce: expected a number above 0"
            },
            {
                "\"Name\":\"p\"",
                "\"Name\":\"p\",\"QuotaRate\":-1",
                "Tariffs.QuotaRate: expected a number from 0 on"
            },
            {
                "\"Name\":\"p\"",
                "\"Name\":\"p\",\"CapRate\":3",
                "Tariffs.CapDepth: expected a number"
            },
            {"\"MaxAttempts\":3", "\"Cancel\":true", "Limits.MaxAttempts: expected a whole number"},
            {
                "\"MaxAttempts\":3",
                "\"MaxAttempts\":0",
                "Limits.MaxAttempts: expected a whole number from 1 to 2147483647"
            },
            {
                "\"MaxAttempts\":3",
                "\"MaxAttempts\":4294967297",
                "Limits.MaxAttempts: expected a whole number from 1 to 2147483647"
            },
            {
                "\"MaxAttempts\":3",
                "\"MaxAttempts\":3,\"Cancel\":1",
                "Limits.Cancel: expected true or false"
            },
            {
                "\"NInstances\":2",
                "\"NInstances\":0",
                "NInstances: expected a whole number from 1 to 2147483647"
            },
            {
                "\"NInstances\":2",
                "\"NInstances\":2,\"Specifics\":{\"Counter\":true}",
                "Specifics.CountLimitUs: expected a number"
            },
            {"\"FallMultiple\":2", "\"FallUs\":2", "Rules.FallMultiple: expected a number"},
            {"\"Rules\":", "\"Rule\":", "Rules: expected an object"},
        };
    }

    /** The message is one line that names the field and what was expected. */
    @Test(dataProvider = "invalidSettings")
    public void invalidFieldIsNamedInTheMessage(String part, String replacement, String message) {
        assertTrue(MINIMAL_SETTINGS.contains(part));
        InvalidSettingsException exception =
                expectThrows(
                        InvalidSettingsException.class,
                        () -> readAll(parse(MINIMAL_SETTINGS.replace(part, replacement))));
        assertEquals(exception.getMessage(), "configuration: settings." + message);
    }
}
