package tinford.fleet.control;

import java.util.concurrent.ThreadFactory;

/**
 * Makes daemon threads, which don't keep the process alive.
 *
 * @param name of the threads, as shown in thread dumps
 */
record DaemonThreadFactory(String name) implements ThreadFactory {
    @Override
    public Thread newThread(Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
