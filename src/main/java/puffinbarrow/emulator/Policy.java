package puffinbarrow.emulator;

import java.util.List;
import java.util.function.Function;
import puffinbarrow.Logic;
import puffinbarrow.control.Controller;

/** What coordinators decide with: the module, or one of what it is measured against. */
public record Policy(String name, Function<Truth, Controller.Factory> factories) {
    public static final List<Policy> ALL = List.of(
            new Policy("ours", truth -> Logic::new),
            new Policy("random", truth -> Baseline.AtRandom::new),
            new Policy("least-loaded", truth -> Baseline.LeastLoaded::new),
            new Policy("two-choices", truth -> Baseline.TwoChoices::new),
            new Policy("bounded-hash", truth -> Baseline.BoundedHash::new),
            new Policy("oracle", truth -> (settings, seed) -> new Baseline.Oracle(settings, seed, truth)));

    Controller.Factory factory(Truth truth) {
        return factories.apply(truth);
    }

    /** Null if there is none of that name. */
    public static Policy named(String name) {
        return ALL.stream().filter(p -> p.name.equals(name)).findFirst().orElse(null);
    }
}
