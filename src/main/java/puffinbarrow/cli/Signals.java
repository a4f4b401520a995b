package puffinbarrow.cli;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Signals of the system; where one is not to be had, the daemon goes without it. */
final class Signals {
    private Signals() {}

    /** False if it will never be heard: whoever started the process had it ignored, as nohup does with HUP. */
    static boolean on(String name, Runnable work) {
        try {
            return Signal.handle(new Signal(name), signal -> work.run()) != SignalHandler.SIG_IGN;
        } catch (IllegalArgumentException unknownHere) {
            org.slf4j.LoggerFactory.getLogger("puffinbarrow.coordinator")
                    .atWarn()
                    .addKeyValue("signal", name)
                    .log("not handled on this system");
            return false;
        }
    }
}
