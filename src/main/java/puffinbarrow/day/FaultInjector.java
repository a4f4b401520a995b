package puffinbarrow.day;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import puffinbarrow.control.Event;

/**
 * Applies a script's faults to a fleet and ends each after its time. {@link Day} calls {@link #inject} on its timer
 * thread, the emulator on the simulation's thread.
 */
public final class FaultInjector {
    private static final long SECOND = 1_000_000_000L;

    private final FleetControl fleet;
    private final UniformRandomProvider random;

    /** Ids of backends that a fault lasts on; no other fault selects them. */
    private final Set<String> affected = Collections.synchronizedSet(new HashSet<>());

    /** Ids of backends that were made to flap or to drain, over the whole day. */
    private final Set<String> unstable = Collections.synchronizedSet(new HashSet<>());

    /**
     * Makes an injector for one day.
     *
     * @param random decides which backends a fault applies to
     */
    public FaultInjector(FleetControl fleet, UniformRandomProvider random) {
        this.fleet = fleet;
        this.random = random;
    }

    /** Returns the ids of backends that were made to flap or to drain so far. */
    public Set<String> unstable() {
        return unstable;
    }

    /** Draws backends that run, do not drain and are under no other fault. */
    private List<BackendControl> choose(Script.Pick pick) {
        List<BackendControl> eligible = new ArrayList<>(fleet.backends().stream()
                .filter(backend -> backend.running()
                        && !backend.draining()
                        && !affected.contains(backend.id())
                        && (pick.zone() < 0 || backend.zone() == pick.zone()))
                .toList());
        if (pick.zone() >= 0) {
            return eligible;
        }
        if (pick.cells() > 0) {
            List<Integer> cells = new ArrayList<>(
                    new TreeSet<>(eligible.stream().map(BackendControl::cell).toList()));
            Set<Integer> chosenCells = new HashSet<>();
            while (chosenCells.size() < pick.cells() && !cells.isEmpty()) {
                chosenCells.add(cells.remove(random.nextInt(cells.size())));
            }
            return eligible.stream()
                    .filter(backend -> chosenCells.contains(backend.cell()))
                    .toList();
        }
        int count = pick.count() > 0
                ? pick.count()
                : (int) Math.round(pick.share() * fleet.backends().size());
        for (int i = eligible.size() - 1; i > 0; i--) {
            Collections.swap(eligible, i, random.nextInt(i + 1));
        }
        return eligible.subList(0, Math.min(count, eligible.size()));
    }

    /** Returns the ids without the loopback address, for the day's log. */
    private static String shortIds(List<BackendControl> chosen) {
        return chosen.stream()
                .map(backend -> backend.id().replace("127.0.0.1", ""))
                .toList()
                .toString();
    }

    /** Applies a fault to backends and ends it after its time. */
    private void during(
            Script.Fault fault,
            List<BackendControl> chosen,
            Consumer<BackendControl> begin,
            Consumer<BackendControl> end) {
        chosen.forEach(backend -> affected.add(backend.id()));
        chosen.forEach(begin);
        fleet.note(fault.text() + "  " + shortIds(chosen));
        fleet.after(fault.durationNs(), () -> {
            chosen.forEach(end);
            chosen.forEach(backend -> affected.remove(backend.id()));
            fleet.note("over: " + fault.text());
        });
    }

    /** Applies a fault to the rest of the fleet and ends it after its time. */
    private void during(Script.Fault fault, Runnable begin, Runnable end) {
        fleet.note(fault.text());
        begin.run();
        fleet.after(fault.durationNs(), () -> {
            end.run();
            fleet.note("over: " + fault.text());
        });
    }

    /** Begins a fault; one that cannot be applied is noted in the day's log and skipped. */
    public void inject(Script.Fault fault) {
        try {
            switch (fault.kind()) {
                case TRAFFIC, PEAK, HOT, HEAVY -> fleet.note(fault.text());
                case DIE -> during(fault, choose(fault.pick()), this::die, this::restart);
                case VANISH -> during(fault, choose(fault.pick()), this::vanish, this::restart);
                case FAIL -> during(
                        fault,
                        choose(fault.pick()),
                        backend -> backend.fail(fault.share()),
                        backend -> backend.fail(0));
                case LOSE -> during(
                        fault,
                        choose(fault.pick()),
                        backend -> backend.loseAnswers(fault.share()),
                        backend -> backend.loseAnswers(0));
                case SLOW -> during(
                        fault,
                        choose(fault.pick()),
                        backend -> backend.setSlowdown(fault.factor()),
                        backend -> backend.setSlowdown(1));
                case PAUSE -> {
                    List<BackendControl> chosen = choose(fault.pick());
                    during(fault, chosen, backend -> {}, backend -> {});
                    for (long at = 0; at < fault.durationNs(); at += fault.everyNs()) {
                        fleet.after(at, () -> chosen.forEach(backend -> backend.suspend((long) fault.factor())));
                    }
                }
                case FLAP -> {
                    List<BackendControl> chosen = choose(fault.pick());
                    chosen.forEach(backend -> unstable.add(backend.id()));
                    during(fault, chosen, backend -> {}, this::restart);
                    for (long at = 0; at + (long) fault.factor() < fault.durationNs(); at += fault.everyNs()) {
                        fleet.after(at, () -> chosen.forEach(this::die));
                        fleet.after(at + (long) fault.factor(), () -> chosen.forEach(this::restart));
                    }
                }
                case AGE -> {
                    List<BackendControl> chosen = choose(fault.pick());
                    during(fault, chosen, backend -> {}, backend -> {
                        die(backend);
                        fleet.after(2 * SECOND, () -> restart(backend));
                    });
                    for (int step = 1; step <= 10; step++) {
                        double factor = 1 + (fault.factor() - 1) * step / 10;
                        fleet.after(
                                fault.durationNs() * step / 11,
                                () -> chosen.forEach(backend -> backend.setSlowdown(factor)));
                    }
                }
                case ADD -> {
                    List<BackendControl> added = new ArrayList<>();
                    for (int i = 0; i < fault.pick().count(); i++) {
                        BackendControl backend = fleet.addBackend();
                        fleet.showInServerList(List.of(backend), Event.Listed.READY);
                        added.add(backend);
                    }
                    fleet.note(fault.text() + "  " + shortIds(added));
                }
                case PREEMPT -> {
                    List<BackendControl> chosen = choose(fault.pick());
                    fleet.note(fault.text() + "  " + shortIds(chosen));
                    drain(chosen);
                    fleet.after(
                            fault.durationNs(),
                            () -> chosen.forEach(backend -> {
                                die(backend);
                                replace();
                            }));
                }
                case RELEASE -> release(fault);
                case LIST_LIES -> {
                    List<BackendControl> chosen = choose(fault.pick());
                    during(
                            fault,
                            chosen,
                            backend -> {},
                            backend -> fleet.showInServerList(List.of(backend), Event.Listed.READY));
                    fleet.showInServerList(chosen, Event.Listed.GONE);
                }
                case LIST_BREAKS -> {
                    fleet.note(fault.text());
                    fleet.truncateNextList();
                }
                case KILL -> during(fault, () -> fleet.kill(fault.number()), () -> fleet.restart(fault.number()));
                    // STOP is a pace at which no order leaves while it lasts.
                case PACE, STOP -> during(
                        fault,
                        () -> fleet.pace(fault.number(), fault.kind() == Script.Kind.PACE ? fault.share() : 1e-6),
                        () -> fleet.pace(fault.number(), 1));
                case FREEZE -> during(
                        fault,
                        () -> fleet.setSuspended(fault.number(), true),
                        () -> fleet.setSuspended(fault.number(), false));
                case LEAVE -> during(fault, () -> fleet.leave(fault.number()), () -> {
                    fleet.kill(fault.number());
                    fleet.restart(fault.number());
                });
                case STORE_AWAY -> during(
                        fault, () -> fleet.setStoreUnreachable(true), () -> fleet.setStoreUnreachable(false));
                case STORE_SLOW -> during(
                        fault, () -> fleet.setStoreDelay((long) fault.factor()), () -> fleet.setStoreDelay(0));
                case STORE_LOSES -> during(
                        fault, () -> fleet.setStoreLossShare(fault.share()), () -> fleet.setStoreLossShare(0));
                case CUT -> {
                    List<String> counterparts = fault.from().equals("all")
                            ? List.of("store", "registry", "peers", "proxies")
                            : List.of(fault.from());
                    during(
                            fault,
                            () -> counterparts.forEach(counterpart -> fleet.cut(fault.number(), counterpart, true)),
                            () -> counterparts.forEach(counterpart -> fleet.cut(fault.number(), counterpart, false)));
                }
                case UNHEARD -> {
                    int proxies = (int) Math.round(fault.share() * fleet.proxies());
                    during(fault, () -> fleet.cutProxies(proxies, true), () -> fleet.cutProxies(proxies, false));
                }
                default -> throw new IllegalStateException(fault.kind().name());
            }
        } catch (RuntimeException e) {
            fleet.note("could not apply: " + fault.text() + ": " + e);
        }
    }

    /** Ends a backend's process and removes it from the server list. */
    private void die(BackendControl backend) {
        backend.crash();
        fleet.showInServerList(List.of(backend), Event.Listed.GONE);
    }

    /** Suspends a backend; the server list drops it 3 s later, as a lost host is noticed late. */
    private void vanish(BackendControl backend) {
        backend.suspend(600 * SECOND);
        fleet.after(3 * SECOND, () -> {
            backend.crash();
            backend.suspend(0);
            fleet.showInServerList(List.of(backend), Event.Listed.GONE);
        });
    }

    /** Starts a backend again, cold, and lists it 100 ms later. */
    private void restart(BackendControl backend) {
        backend.suspend(0);
        backend.startCold();
        fleet.after(100_000_000L, () -> {
            if (backend.running()) {
                fleet.showInServerList(List.of(backend), Event.Listed.READY);
            }
        });
    }

    /** Lists backends as draining. */
    private void drain(List<BackendControl> chosen) {
        chosen.forEach(backend -> unstable.add(backend.id()));
        chosen.forEach(backend -> backend.setDraining(false));
        fleet.showInServerList(chosen, Event.Listed.DRAINING);
    }

    /** Adds a new backend in place of one that was preempted. */
    private void replace() {
        fleet.showInServerList(List.of(fleet.addBackend()), Event.Listed.READY);
    }

    /** Restarts backends batch by batch: each drains, ends after the drain and starts cold under the same id. */
    private void release(Script.Fault fault) {
        List<BackendControl> all = choose(fault.pick());
        int batch =
                Math.max(1, (int) Math.round(fault.share() * fleet.backends().size()));
        fleet.note(fault.text() + "  " + all.size() + " backends, " + batch + " at a time");
        all.forEach(backend -> affected.add(backend.id()));
        long intervalNs = fault.durationNs() + 2 * SECOND;
        for (int from = 0, turn = 0; from < all.size(); from += batch, turn++) {
            List<BackendControl> members = List.copyOf(all.subList(from, Math.min(all.size(), from + batch)));
            fleet.after(turn * intervalNs, () -> drain(members));
            fleet.after(turn * intervalNs + fault.durationNs(), () -> members.forEach(this::die));
            fleet.after(turn * intervalNs + fault.durationNs() + SECOND, () -> {
                members.forEach(this::restart);
                members.forEach(backend -> affected.remove(backend.id()));
            });
        }
    }
}
