package tinford.fleet.control;

import java.net.InetSocketAddress;
import java.util.List;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Option;
import picocli.CommandLine.TypeConversionException;
import tinford.routing.Addresses;

/** The option that names the control servers. */
final class ServersOption {
    /** One numeric host:port. */
    static final class AddressConverter implements ITypeConverter<InetSocketAddress> {
        @Override
        public InetSocketAddress convert(String text) {
            InetSocketAddress address = Addresses.of(text);
            if (address == null) {
                throw new TypeConversionException("expected a numeric host:port, not " + text);
            }
            return address;
        }
    }

    @Option(
            names = "--servers",
            required = true,
            split = ",",
            paramLabel = "HOST:PORT",
            converter = AddressConverter.class,
            description = "Control servers, separated by commas.")
    private List<InetSocketAddress> addresses;

    List<InetSocketAddress> addresses() {
        return addresses;
    }
}
