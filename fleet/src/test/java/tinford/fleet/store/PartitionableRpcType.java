package tinford.fleet.store;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.grpc.GrpcFactory;
import org.apache.ratis.grpc.server.GrpcService;
import org.apache.ratis.proto.RaftProtos.RaftRpcRequestProto;
import org.apache.ratis.rpc.RpcFactory;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.server.RaftServer;

/**
 * The library's gRPC, with network partitions: each member rejects requests between the member that
 * is cut off and any other.
 */
public final class PartitionableRpcType implements RpcType {
    static final String PARTITION_PARAMETER = "tinford.cut";

    /** The present partition, shared by all members. */
    static final class Partition {
        /** Number of the member that is cut off; 0 for none. */
        volatile int isolatedMember;

        boolean separates(String member, String otherMember) {
            String isolated = "m" + isolatedMember;
            return member.equals(isolated) || otherMember.equals(isolated);
        }
    }

    @Override
    public String name() {
        return PartitionableRpcType.class.getName();
    }

    @Override
    public RpcFactory newFactory(Parameters parameters) {
        Partition partition = parameters.get(PARTITION_PARAMETER, Partition.class);
        return new GrpcFactory(parameters) {
            @Override
            public GrpcService newRaftServerRpc(RaftServer server) {
                return super.newRaftServerRpc(
                        partition == null ? server : partitionable(server, partition));
            }
        };
    }

    private static RaftServer partitionable(RaftServer server, Partition partition) {
        return (RaftServer)
                Proxy.newProxyInstance(
                        PartitionableRpcType.class.getClassLoader(),
                        new Class<?>[] {RaftServer.class},
                        (proxy, method, arguments) -> {
                            if (isPeerRequest(method)
                                    && partition.separates(
                                            requestor(arguments[0]), server.getId().toString())) {
                                return reject(method);
                            }
                            return invoke(server, method, arguments);
                        });
    }

    private static boolean isPeerRequest(Method method) {
        String name = method.getName();
        return name.startsWith("appendEntries")
                || name.equals("requestVote")
                || name.equals("installSnapshot");
    }

    private static String requestor(Object request) throws ReflectiveOperationException {
        Object header = request.getClass().getMethod("getServerRequest").invoke(request);
        return ((RaftRpcRequestProto) header).getRequestorId().toStringUtf8();
    }

    private static Object reject(Method method) throws IOException {
        IOException failure = new IOException("cut");
        if (method.getReturnType() == CompletableFuture.class) {
            return CompletableFuture.failedFuture(failure);
        }
        throw failure;
    }

    private static Object invoke(RaftServer server, Method method, Object[] arguments)
            throws Throwable {
        try {
            return method.invoke(server, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }
}
