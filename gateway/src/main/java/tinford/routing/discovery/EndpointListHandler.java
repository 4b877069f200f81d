package tinford.routing.discovery;

import tinford.settings.JsonFields;

/** Receives the endpoint lists that discovery sends. */
@FunctionalInterface
public interface EndpointListHandler {
    /**
     * Applies a list.
     *
     * @throws tinford.settings.InvalidSettingsException if the list is invalid; nothing is applied
     *     then
     */
    void updateEndpoints(JsonFields list);
}
