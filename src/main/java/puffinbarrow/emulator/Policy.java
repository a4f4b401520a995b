package puffinbarrow.emulator;

import java.util.List;
import java.util.function.Function;
import puffinbarrow.Logic;
import puffinbarrow.control.Controller;

/**
 * A policy that coordinators decide with: the product's own logic, or one of those that it is measured against.
 *
 * @param name an option of the command line and a value in results
 * @param factories gives the factory of the controllers of a fleet, from its true state
 */
public record Policy(String name, Function<TrueState, Controller.Factory> factories) {
    /** All policies; the first is the product's own. */
    public static final List<Policy> ALL = List.of(
            new Policy("ours", trueState -> Logic::new),
            new Policy("random", trueState -> Baseline.AtRandom::new),
            new Policy("least-loaded", trueState -> Baseline.LeastLoaded::new),
            new Policy("two-choices", trueState -> Baseline.TwoChoices::new),
            new Policy("bounded-hash", trueState -> Baseline.BoundedHash::new),
            new Policy("oracle", trueState -> (settings, seed) -> new Baseline.Oracle(settings, seed, trueState)));

    /** Returns the factory of the controllers of a fleet. */
    Controller.Factory factory(TrueState trueState) {
        return factories.apply(trueState);
    }

    /** Returns the policy of that name, or null. */
    public static Policy byName(String name) {
        return ALL.stream().filter(p -> p.name.equals(name)).findFirst().orElse(null);
    }
}
