package tinford.lab.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * What is started as a gateway.
 *
 * @param words the command
 * @param environment more of it, beside ROUTER_CONFIG and TINFORD_HISTORY
 * @param operator makes a gateway's operator file, which TINFORD_FLEET then names; null where there
 *     is none
 * @param peers whether the gateway itself binds {@code peer_listen} (its settings' Limits.Peers);
 *     else the address is free for another use
 */
public record GatewayProgram(
        List<String> words, Map<String, String> environment, Operator operator, boolean peers) {
    /** Makes an operator file. */
    public interface Operator {
        String text(GatewaySlot slot) throws IOException;
    }

    /**
     * Where a gateway sits.
     *
     * @param peerListen where datagrams reach it; {@code peers} by number, where it sends them: the
     *     links' addresses, its own its own
     * @param memberListen where streams of a log reach it; {@code members} by number likewise
     */
    public record GatewaySlot(
            int number,
            int gateways,
            Path folder,
            Path disk,
            String peerListen,
            List<String> peers,
            String memberListen,
            List<String> members) {
        /**
         * A template with {number}, {gateways}, {disk}, {peer_listen}, {peers}, {member_listen},
         * {members}; lists as in JSON and TOML.
         */
        public String fill(String template) {
            return template.replace("{number}", Integer.toString(number))
                    .replace("{gateways}", Integer.toString(gateways))
                    .replace("{disk}", disk.toString())
                    .replace("{peer_listen}", peerListen)
                    .replace("{peers}", list(peers))
                    .replace("{member_listen}", memberListen)
                    .replace("{members}", list(members));
        }

        private static String list(List<String> all) {
            return all.isEmpty() ? "[]" : "[\"" + String.join("\", \"", all) + "\"]";
        }
    }
}
