package tinford.lab.scale.count;

import java.util.Set;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.Label;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;

/** Weaves calls on {@link OperationCounter} into all methods of a class. */
final class CountingVisitor extends ClassVisitor {
    private static final int API = Opcodes.ASM9;
    private static final String COUNTER = OperationCounter.class.getName().replace('.', '/');
    private static final Set<String> COLLECTIONS =
            Set.of(
                    "java/util/Collection",
                    "java/util/List",
                    "java/util/ArrayList",
                    "java/util/ArrayDeque",
                    "java/util/Set",
                    "java/util/HashSet",
                    "java/util/LinkedHashSet");
    private static final String ONE_OBJECT = "(Ljava/lang/Object;)Z";

    CountingVisitor(ClassVisitor next) {
        super(API, next);
    }

    @Override
    public MethodVisitor visitMethod(
            int access, String name, String descriptor, String signature, String[] exceptions) {
        MethodVisitor next = super.visitMethod(access, name, descriptor, signature, exceptions);
        return new Weaver(next);
    }

    private static final class Weaver extends MethodVisitor {
        Weaver(MethodVisitor next) {
            super(API, next);
        }

        @Override
        public void visitCode() {
            super.visitCode();
            countOperation();
        }

        @Override
        public void visitJumpInsn(int opcode, Label label) {
            countOperation();
            super.visitJumpInsn(opcode, label);
        }

        @Override
        public void visitMethodInsn(
                int opcode, String owner, String name, String descriptor, boolean isInterface) {
            boolean searches =
                    COLLECTIONS.contains(owner)
                            && descriptor.equals(ONE_OBJECT)
                            && (name.equals("contains") || name.equals("remove"));
            if (searches) {
                callCounter(name, "(Ljava/util/Collection;Ljava/lang/Object;)Z");
                return;
            }
            if (copies(owner, name, descriptor)) {
                callCounter("copied", "(Ljava/util/Collection;)Ljava/util/Collection;");
            }
            super.visitMethodInsn(opcode, owner, name, descriptor, isInterface);
        }

        /** The collection to copy lies on top of the stack. */
        private static boolean copies(String owner, String name, String descriptor) {
            boolean constructor =
                    name.equals("<init>") && descriptor.equals("(Ljava/util/Collection;)V");
            boolean addition =
                    name.equals("addAll") && descriptor.equals("(Ljava/util/Collection;)Z");
            return owner.startsWith("java/util/") && (constructor || addition);
        }

        private void countOperation() {
            callCounter("operation", "()V");
        }

        private void callCounter(String name, String descriptor) {
            super.visitMethodInsn(Opcodes.INVOKESTATIC, COUNTER, name, descriptor, false);
        }
    }
}
