package tinford.fleet.store;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.grpc.GrpcFactory;
import org.apache.ratis.grpc.server.GrpcService;
import org.apache.ratis.rpc.RpcFactory;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.server.RaftServer;

/** The library's gRPC, but each member turns away what comes from a member that it is cut from. */
public final class Cuts implements RpcType {
    static final String CUT = "tinford.cut";

    /** Number of the member that is cut off; 0 while none is. */
    static final class Cut {
        volatile int off;

        boolean between(String a, String b) {
            return a.equals("m" + off) || b.equals("m" + off);
        }
    }

    @Override
    public String name() {
        return Cuts.class.getName();
    }

    @Override
    public RpcFactory newFactory(Parameters parameters) {
        Cut cut = parameters.get(CUT, Cut.class);
        return new GrpcFactory(parameters) {
            @Override
            public GrpcService newRaftServerRpc(RaftServer server) {
                return super.newRaftServerRpc(cut == null ? server : guarded(server, cut));
            }
        };
    }

    private static RaftServer guarded(RaftServer server, Cut cut) {
        return (RaftServer)
                Proxy.newProxyInstance(
                        Cuts.class.getClassLoader(),
                        new Class<?>[] {RaftServer.class},
                        (p, method, with) -> {
                            String name = method.getName();
                            if (name.startsWith("appendEntries")
                                    || name.equals("requestVote")
                                    || name.equals("installSnapshot")) {
                                Object header =
                                        with[0].getClass()
                                                .getMethod("getServerRequest")
                                                .invoke(with[0]);
                                String from =
                                        ((org.apache.ratis.proto.RaftProtos.RaftRpcRequestProto)
                                                        header)
                                                .getRequestorId()
                                                .toStringUtf8();
                                if (cut.between(from, server.getId().toString())) {
                                    IOException e = new IOException("cut");
                                    if (method.getReturnType() == CompletableFuture.class) {
                                        return CompletableFuture.failedFuture(e);
                                    }
                                    throw e;
                                }
                            }
                            try {
                                return method.invoke(server, with);
                            } catch (InvocationTargetException e) {
                                throw e.getCause();
                            }
                        });
    }
}
