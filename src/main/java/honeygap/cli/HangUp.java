package honeygap.cli;

import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * SIGHUP, heard from the program's first line on. Guards against the runtime's own answer to it, which is to end: an
 * agent that is told to read its files again while it starts reads them once it can. The runtime's class for signals
 * is found by name: the compiler warns of it wherever it stands, and warnings fail the build.
 */
final class HangUp {

    private static Runnable task;
    private static boolean isPending;
    private static boolean isIgnored;
    private static ReflectiveOperationException failure;

    private HangUp() {
    }

    /** From now on a signal is kept until there is something to do for it. */
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
            // The runtime takes the handler and drops it where the signal was ignored at the start, as under nohup.
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

    /** What is to be done for each signal, and now for one that has come; told in the log where none can come. */
    static void setTask(Runnable task) {
        boolean wasPending;
        synchronized (HangUp.class) {
            HangUp.task = task;
            wasPending = isPending;
            isPending = false;
        }
        if (isIgnored) {
            Logger.warn("SIGHUP is ignored by whoever started this process: new configurations go unheard");
        }
        if (failure != null) {
            Logger.warn(failure, "SIGHUP can't be heard here");
        }
        if (wasPending) {
            task.run();
        }
    }
}
