package tinford.lab.scale.count;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.ClassWriter;

/**
 * Loads some classes a second time, with calls on {@link OperationCounter} woven into them. The
 * program itself is not touched: its own classes stay as they are in the parent loader.
 */
public final class CountingClassLoader extends ClassLoader {
    private final List<String> counted;
    private final List<String> plain;

    /**
     * @param counted beginnings of the names of classes whose operations count
     * @param plain beginnings of the names of classes that use them, loaded here but not counted
     */
    public CountingClassLoader(ClassLoader parent, List<String> counted, List<String> plain) {
        super(parent);
        this.counted = List.copyOf(counted);
        this.plain = List.copyOf(plain);
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
        boolean counts = counted.stream().anyMatch(name::startsWith);
        if (!counts && plain.stream().noneMatch(name::startsWith)) {
            return super.loadClass(name, resolve);
        }
        synchronized (getClassLoadingLock(name)) {
            Class<?> loaded = findLoadedClass(name);
            return loaded != null ? loaded : define(name, counts);
        }
    }

    private Class<?> define(String name, boolean counts) throws ClassNotFoundException {
        String resource = name.replace('.', '/') + ".class";
        try (InputStream in = getParent().getResourceAsStream(resource)) {
            if (in == null) {
                throw new ClassNotFoundException(name);
            }
            byte[] bytes = in.readAllBytes();
            byte[] code = counts ? withCounting(bytes) : bytes;
            return defineClass(name, code, 0, code.length);
        } catch (IOException e) {
            throw new ClassNotFoundException(name, e);
        }
    }

    private static byte[] withCounting(byte[] bytes) {
        ClassReader reader = new ClassReader(bytes);
        ClassWriter writer = new ClassWriter(reader, ClassWriter.COMPUTE_MAXS);
        ClassVisitor visitor = new CountingVisitor(writer);
        reader.accept(visitor, 0);
        return writer.toByteArray();
    }
}
