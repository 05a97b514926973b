package honeygap.cli;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Handles SIGHUP from the start of the program. Without a handler the JVM exits on SIGHUP, so a reload requested during
 * startup would kill the agent; instead it is remembered and executed once the agent can reload. The JDK's internal
 * signal class is looked up by name because any direct use causes a compiler warning, and warnings fail the build.
 */
final class HangUp {

    private static Runnable task;
    private static boolean isPending;
    private static boolean isIgnored;
    private static ReflectiveOperationException failure;

    private HangUp() {
    }

    /** Installs the handler. Signals received before {@link #setTask} are remembered. */
    static synchronized void installHandler() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> {
                        signalReceived();
                        return null;
                    });
            Object previousHandler = signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), handlerProxy);
            // If SIGHUP was ignored at process start, as under nohup, the JVM accepts the handler but never calls it.
            isIgnored = previousHandler == handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            failure = e;
        }
    }

    private static void signalReceived() {
        Runnable currentTask;
        synchronized (HangUp.class) {
            isPending = task == null;
            currentTask = task;
        }
        if (currentTask != null) {
            currentTask.run();
        }
    }

    /** Sets the task to run on each signal, and runs it now if a signal is pending; logs if none can be received. */
    static void setTask(Runnable task) {
        boolean wasPending;
        synchronized (HangUp.class) {
            HangUp.task = task;
            wasPending = isPending;
            isPending = false;
        }
        if (isIgnored) {
            Logger.warn("SIGHUP is ignored in this process, as set by its parent: it cannot be used to reload settings");
        }
        if (failure != null) {
            Logger.warn(failure, "SIGHUP handler could not be installed");
        }
        if (wasPending) {
            task.run();
        }
    }
}
