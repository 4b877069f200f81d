package tinford.fleet.config;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/** Reads and writes a whole configuration as JSON; reading validates it. */
final class ConfigurationJson {
    private ConfigurationJson() {}

    static void writeFields(JsonGenerator out, Configuration configuration) throws IOException {
        out.writeNumberField("revision", configuration.revision());
        JsonArrays.write(
                out, "services", configuration.services().values(), RecordJson::writeService);
        JsonArrays.write(out, "plans", configuration.plans().values(), RecordJson::writePlan);
        JsonArrays.write(out, "routes", configuration.routes().values(), RecordJson::writeRoute);
        JsonArrays.write(out, "tenants", configuration.tenants().values(), RecordJson::writeTenant);
    }

    static Configuration read(JsonObjectReader json) throws InvalidConfigurationException {
        List<ServiceRecord> services = JsonArrays.read(json, "services", RecordJson::readService);
        List<PlanRecord> plans = JsonArrays.read(json, "plans", RecordJson::readPlan);
        List<RouteRecord> routes = JsonArrays.read(json, "routes", RecordJson::readRoute);
        List<TenantRecord> tenants = JsonArrays.read(json, "tenants", RecordJson::readTenant);
        Configuration configuration =
                Configuration.of(
                        json.nonNegativeLong("revision"), services, routes, plans, tenants);
        expectNoDuplicates(json, "services", services, configuration.services());
        expectNoDuplicates(json, "plans", plans, configuration.plans());
        expectNoDuplicates(json, "routes", routes, configuration.routes());
        expectNoDuplicates(json, "tenants", tenants, configuration.tenants());
        List<ValidationError> errors = Validator.check(configuration);
        if (!errors.isEmpty()) {
            throw new InvalidConfigurationException(errors.get(0).key(), errors.get(0).expected());
        }
        return configuration;
    }

    private static void expectNoDuplicates(
            JsonObjectReader json, String key, List<?> listed, Map<?, ?> distinct)
            throws InvalidConfigurationException {
        if (listed.size() != distinct.size()) {
            throw json.invalid(key, "no duplicate keys");
        }
    }
}
