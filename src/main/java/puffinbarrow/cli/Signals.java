package puffinbarrow.cli;

import sun.misc.Signal;

/** Signals of the system; where one is not to be had, the daemon goes without it. */
final class Signals {
    private Signals() {}

    static void on(String name, Runnable work) {
        try {
            Signal.handle(new Signal(name), signal -> work.run());
        } catch (IllegalArgumentException unknownHere) {
            org.slf4j.LoggerFactory.getLogger("puffinbarrow.coordinator").atWarn().addKeyValue("signal", name)
                    .log("not handled on this system");
        }
    }
}
