package tinford.fleet.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.List;
import tinford.fleet.config.ValidationError;

/** Sends responses of one JSON object. */
final class JsonResponse {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonResponse() {}

    static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    static ObjectNode errorBody(List<ValidationError> errors) {
        ObjectNode body = newObject();
        ArrayNode array = body.putArray("faults");
        for (ValidationError error : errors) {
            array.addObject().put("key", error.key()).put("expected", error.expected());
        }
        return body;
    }

    static void send(HttpServerExchange exchange, int status, JsonNode body) {
        byte[] bytes;
        try {
            bytes = MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree can always be written", e);
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
    }

    static void sendError(HttpServerExchange exchange, int status, ValidationError error) {
        send(exchange, status, errorBody(List.of(error)));
    }
}
