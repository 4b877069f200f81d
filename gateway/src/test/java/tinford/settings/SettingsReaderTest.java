package tinford.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.core.JsonFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.*;

/**
 * Settings unlike those known: what may be missing, what it stands for then, and what is an error.
 */
public class SettingsReaderTest {
    private static final String LEAST =
            "{\"Classes\":[{\"Name\":\"a\",\"HardLimitUs\":4000000,\"Effect\":\"read_like\"},"
                + "{\"Name\":\"k\",\"HardLimitUs\":5000000,\"Effect\":\"idempotency_key\"}],\"Limits\":{\"MaxAttempts\":3},"
                + "\"NInstances\":2,\"Rules\":{\"FallMultiple\":2},\"Tariffs\":[{\"Name\":\"p\"}]}";

    private SlowStartRules rules;
    private Objectives goal;

    private DecisionModule make(
            long seed,
            GatewayIdentity place,
            AttemptLimits limits,
            SlowStartRules cold,
            CounterSettings counter,
            Objectives weighs,
            boolean mustAsk) {
        rules = cold;
        goal = weighs;
        return null;
    }

    private static JsonFields read(String text) {
        return JsonFields.of(new JsonFactory(), "configuration", "{\"settings\":" + text + "}")
                .object("settings");
    }

    /** All that a start takes of them. */
    private void take(JsonFields set) {
        SettingsReader.requestClasses(set);
        SettingsReader.plans(set);
        SettingsReader.connectTimeoutMs(set);
        SettingsReader.idleTimeoutMs(set);
        SettingsReader.maxOpenRequests(set);
        SettingsReader.maxRequestUnits(set);
        SettingsReader.createModule(this::make, 1, set);
    }

    @Test
    public void whatIsMissingHarmsNobody() {
        JsonFields set = read(LEAST);
        take(set);
        RequestClass a = SettingsReader.requestClasses(set).get("a");
        RequestClass k = SettingsReader.requestClasses(set).get("k");
        assertEquals(
                new double[] {
                    a.latencyObjectiveMs,
                    a.timeoutMs,
                    a.priorityWeight,
                    a.lateWeight,
                    k.latencyObjectiveMs
                },
                new double[] {4000, 4000, 1, 0, 5000});
        assertEquals(a.idempotency, Idempotency.IDEMPOTENT);
        assertEquals(k.deduplicationWindowMs, 0.0); // none known: never again where it may have run
        assertEquals(k.deduplicationScope, DeduplicationScope.CELL); // within any group
        Plan p = SettingsReader.plans(set).get("p");
        assertEquals(
                new double[] {
                    p.quotaPerMs,
                    p.maxOpenRequests,
                    p.hardLimitPerMs,
                    p.priorityWeight,
                    p.overQuotaWeight,
                    p.overQuotaCost
                },
                new double[] {0, 0, 0, 1, 0, 0});
        AttemptLimits limits = SettingsReader.attemptLimits(set);
        assertTrue(
                !limits.hedgingAllowed()
                        && !limits.cancellationAllowed()
                        && !limits.gossipAllowed()
                        && !limits.healthChecksAllowed()
                        && limits.maxRetryAfterMs() == 0);
        CounterSettings counter = SettingsReader.counterSettings(set);
        assertTrue(!counter.present() && !counter.postPaid() && !SettingsReader.watchRequired(set));
        assertEquals(SettingsReader.gatewayIdentity(set).zone(), "");
        assertEquals(
                new double[] {
                    SettingsReader.connectTimeoutMs(set),
                    SettingsReader.idleTimeoutMs(set),
                    SettingsReader.maxOpenRequests(set),
                    SettingsReader.maxRequestUnits(set)
                },
                new double[] {1000, 600_000, 20_000, 1e9});
        assertEquals(
                new double[] {
                    rules.initialCapacityShare(),
                    rules.warmUpMs(),
                    rules.overloadMultiple(),
                    goal.overallWeight(),
                    goal.worstPlanWeight()
                },
                new double[] {0, 30_000, 2, 1, 0});
    }

    /** In place of the first, the second. */
    @DataProvider
    public Object[][] unlikeOnes() {
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

    @Test(dataProvider = "unlikeOnes")
    public void newKeysAndOddFiguresAreTaken(String part, String instead) {
        assertTrue(LEAST.contains(part));
        take(read(LEAST.replace(part, instead)));
    }

    @DataProvider
    public Object[][] wrongOnes() {
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

    /** One line that names the field and what was expected. */
    @Test(dataProvider = "wrongOnes")
    public void whatIsWrongIsNamed(String part, String instead, String line) {
        assertTrue(LEAST.contains(part));
        InvalidSettingsException wrong =
                expectThrows(
                        InvalidSettingsException.class,
                        () -> take(read(LEAST.replace(part, instead))));
        assertEquals(wrong.getMessage(), "configuration: settings." + line);
    }
}
