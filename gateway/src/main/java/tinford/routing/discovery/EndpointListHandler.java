package tinford.routing.discovery;

import tinford.settings.JsonFields;

/** Takes the endpoint lists that discovery sends. */
@FunctionalInterface
public interface EndpointListHandler {
    /**
     * Brings a list into force.
     *
     * @throws tinford.settings.InvalidSettingsException if it can't be read; then none of it is in
     *     force
     */
    void updateEndpoints(JsonFields list);
}
