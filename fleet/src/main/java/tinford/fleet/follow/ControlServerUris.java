package tinford.fleet.follow;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import tinford.fleet.config.Endpoint;

/** The URIs of control servers that a follower requests. */
final class ControlServerUris {
    private ControlServerUris() {}

    /** A watch of the revisions after one. */
    static URI watch(Endpoint endpoint, FollowerSettings settings, long afterRevision) {
        return of(
                endpoint,
                "/configuration?watch=1&after="
                        + afterRevision
                        + "&follower="
                        + encode(settings.id())
                        + "&region="
                        + encode(settings.region())
                        + "&fleet="
                        + encode(settings.fleetId()));
    }

    /** The report of a follower. */
    static URI report(Endpoint endpoint, String follower) {
        return of(endpoint, "/followers/" + encode(follower));
    }

    private static URI of(Endpoint endpoint, String pathAndQuery) {
        return URI.create("http://" + endpoint.host() + ":" + endpoint.port() + pathAndQuery);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
