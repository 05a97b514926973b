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
    private static boolean isOwed;
    private static boolean isIgnored;
    private static ReflectiveOperationException failure;

    private HangUp() {
    }

    /** From now on a signal is kept until there is something to do for it. */
    static synchronized void hear() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object told = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> {
                        came();
                        return null;
                    });
            Object before = signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), told);
            // The runtime takes the handler and drops it where the signal was ignored at the start, as under nohup.
            isIgnored = before == handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            failure = e;
        }
    }

    private static void came() {
        Runnable now;
        synchronized (HangUp.class) {
            isOwed = task == null;
            now = task;
        }
        if (now != null) {
            now.run();
        }
    }

    /** What is to be done for each signal, and now for one that has come; told in the log where none can come. */
    static void then(Runnable task) {
        boolean owed;
        synchronized (HangUp.class) {
            HangUp.task = task;
            owed = isOwed;
            isOwed = false;
        }
        if (isIgnored) {
            Logger.warn("SIGHUP is ignored by whoever started this process: new configurations go unheard");
        }
        if (failure != null) {
            Logger.warn(failure, "SIGHUP can't be heard here");
        }
        if (owed) {
            task.run();
        }
    }
}
