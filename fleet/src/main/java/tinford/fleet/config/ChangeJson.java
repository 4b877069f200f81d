package tinford.fleet.config;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Set;

/** Reads and writes a change as a JSON object whose only field names the kind of change. */
final class ChangeJson {
    private static final Set<String> NAME_KEYS = JsonObjectReader.keys("name");
    private static final Set<String> ID_KEYS = JsonObjectReader.keys("id");
    private static final String EXPECTED_CHANGE =
            "one of putService, removeService, putRoute, removeRoute, putPlan, removePlan, "
                    + "putTenant, removeTenant";

    private ChangeJson() {}

    static void write(JsonGenerator out, Change change) throws IOException {
        out.writeStartObject();
        if (change instanceof Change.PutService put) {
            out.writeFieldName("putService");
            RecordJson.writeService(out, put.service());
        } else if (change instanceof Change.RemoveService remove) {
            writeName(out, "removeService", remove.name());
        } else if (change instanceof Change.PutRoute put) {
            out.writeFieldName("putRoute");
            RecordJson.writeRoute(out, put.route());
        } else if (change instanceof Change.RemoveRoute remove) {
            writeName(out, "removeRoute", remove.name());
        } else if (change instanceof Change.PutPlan put) {
            out.writeFieldName("putPlan");
            RecordJson.writePlan(out, put.plan());
        } else if (change instanceof Change.RemovePlan remove) {
            writeName(out, "removePlan", remove.name());
        } else if (change instanceof Change.PutTenant put) {
            out.writeFieldName("putTenant");
            RecordJson.writeTenant(out, put.tenant());
        } else if (change instanceof Change.RemoveTenant remove) {
            out.writeObjectFieldStart("removeTenant");
            out.writeNumberField("id", remove.id());
            out.writeEndObject();
        }
        out.writeEndObject();
    }

    static Change read(JsonObjectReader json) throws InvalidConfigurationException {
        String kind = json.onlyKey(EXPECTED_CHANGE);
        JsonObjectReader body = json.object(kind);
        return switch (kind) {
            case "putService" -> new Change.PutService(RecordJson.readService(body));
            case "removeService" -> new Change.RemoveService(readName(body));
            case "putRoute" -> new Change.PutRoute(RecordJson.readRoute(body));
            case "removeRoute" -> new Change.RemoveRoute(readName(body));
            case "putPlan" -> new Change.PutPlan(RecordJson.readPlan(body));
            case "removePlan" -> new Change.RemovePlan(readName(body));
            case "putTenant" -> new Change.PutTenant(RecordJson.readTenant(body));
            case "removeTenant" -> new Change.RemoveTenant(readId(body));
            default -> throw json.invalid(kind, EXPECTED_CHANGE);
        };
    }

    private static void writeName(JsonGenerator out, String kind, String name) throws IOException {
        out.writeObjectFieldStart(kind);
        out.writeStringField("name", name);
        out.writeEndObject();
    }

    private static String readName(JsonObjectReader json) throws InvalidConfigurationException {
        json.allowOnly(NAME_KEYS);
        return json.text("name");
    }

    private static long readId(JsonObjectReader json) throws InvalidConfigurationException {
        json.allowOnly(ID_KEYS);
        return json.integer("id");
    }
}
