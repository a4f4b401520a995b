package puffinbarrow.cli;

import org.slf4j.LoggerFactory;

/** Handles signals of the operating system; a signal that the system does not have is logged and passed over. */
final class Signals {
    private Signals() {}

    /**
     * Runs the work on each arrival of a signal, on a thread of the JVM. Returns false if the signal will never arrive:
     * the system does not have it, or the process was started with it ignored, as nohup does with HUP.
     *
     * @param name without SIG, such as TERM
     */
    static boolean on(String name, Runnable work) {
        try {
            return sun.misc.Signal.handle(new sun.misc.Signal(name), signal -> work.run())
                    != sun.misc.SignalHandler.SIG_IGN;
        } catch (IllegalArgumentException unsupported) {
            LoggerFactory.getLogger("puffinbarrow.coordinator")
                    .atWarn()
                    .addKeyValue("signal", name)
                    .log("signal not supported on this system");
            return false;
        }
    }
}
