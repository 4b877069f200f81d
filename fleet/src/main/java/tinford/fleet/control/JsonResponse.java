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

/** Sends answers of one JSON object. */
final class JsonResponse {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonResponse() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static ObjectNode faults(List<ValidationError> faults) {
        ObjectNode body = object();
        ArrayNode array = body.putArray("faults");
        for (ValidationError fault : faults) {
            array.addObject().put("key", fault.key()).put("expected", fault.expected());
        }
        return body;
    }

    static void send(HttpServerExchange exchange, int status, JsonNode body) {
        byte[] bytes;
        try {
            bytes = MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree is always written", e);
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
    }

    static void sendFault(HttpServerExchange exchange, int status, ValidationError fault) {
        send(exchange, status, faults(List.of(fault)));
    }
}
