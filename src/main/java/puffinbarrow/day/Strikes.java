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

/** What a script's troubles do to a fleet, wherever that stands. */
public final class Strikes {
    private static final long SECOND = 1_000_000_000L;

    private final Stage stage;
    private final UniformRandomProvider chance;
    private final Set<String> troubled = Collections.synchronizedSet(new HashSet<>());
    private final Set<String> struck = Collections.synchronizedSet(new HashSet<>());

    public Strikes(Stage stage, UniformRandomProvider chance) {
        this.stage = stage;
        this.chance = chance;
    }

    /** Servers that were made to flap or to drain. */
    public Set<String> struck() {
        return struck;
    }

    private List<Machine> choose(Script.Pick pick) {
        List<Machine> open = new ArrayList<>(stage.machines().stream()
                .filter(b -> b.up()
                        && !b.draining()
                        && !troubled.contains(b.id())
                        && (pick.zone() < 0 || b.zone() == pick.zone()))
                .toList());
        if (pick.zone() >= 0) {
            return open;
        }
        if (pick.cells() > 0) {
            List<Integer> cells = new ArrayList<>(
                    new TreeSet<>(open.stream().map(Machine::cell).toList()));
            Set<Integer> some = new HashSet<>();
            while (some.size() < pick.cells() && !cells.isEmpty()) {
                some.add(cells.remove(chance.nextInt(cells.size())));
            }
            return open.stream().filter(b -> some.contains(b.cell())).toList();
        }
        int count = pick.count() > 0
                ? pick.count()
                : (int) Math.round(pick.share() * stage.machines().size());
        for (int i = open.size() - 1; i > 0; i--) {
            Collections.swap(open, i, chance.nextInt(i + 1));
        }
        return open.subList(0, Math.min(count, open.size()));
    }

    private static String names(List<Machine> chosen) {
        return chosen.stream()
                .map(b -> b.id().replace("127.0.0.1", ""))
                .toList()
                .toString();
    }

    private void during(Script.Trouble t, List<Machine> chosen, Consumer<Machine> on, Consumer<Machine> off) {
        chosen.forEach(b -> troubled.add(b.id()));
        chosen.forEach(on);
        stage.note(t.text() + "  " + names(chosen));
        stage.after(t.forNs(), () -> {
            chosen.forEach(off);
            chosen.forEach(b -> troubled.remove(b.id()));
            stage.note("over: " + t.text());
        });
    }

    private void during(Script.Trouble t, Runnable on, Runnable off) {
        stage.note(t.text());
        on.run();
        stage.after(t.forNs(), () -> {
            off.run();
            stage.note("over: " + t.text());
        });
    }

    public void strike(Script.Trouble t) {
        try {
            switch (t.kind()) {
                case TRAFFIC, PEAK, HOT, HEAVY -> stage.note(t.text());
                case DIE -> during(t, choose(t.pick()), this::dies, this::returns);
                case VANISH -> during(t, choose(t.pick()), this::vanishes, this::returns);
                case FAIL -> during(t, choose(t.pick()), b -> b.fail(t.share()), b -> b.fail(0));
                case LOSE -> during(t, choose(t.pick()), b -> b.loseAnswers(t.share()), b -> b.loseAnswers(0));
                case SLOW -> during(t, choose(t.pick()), b -> b.slowBy(t.factor()), b -> b.slowBy(1));
                case PAUSE -> {
                    List<Machine> chosen = choose(t.pick());
                    during(t, chosen, b -> {}, b -> {});
                    for (long at = 0; at < t.forNs(); at += t.everyNs()) {
                        stage.after(at, () -> chosen.forEach(b -> b.pause((long) t.factor())));
                    }
                }
                case FLAP -> {
                    List<Machine> chosen = choose(t.pick());
                    chosen.forEach(b -> struck.add(b.id()));
                    during(t, chosen, b -> {}, this::returns);
                    for (long at = 0; at + (long) t.factor() < t.forNs(); at += t.everyNs()) {
                        stage.after(at, () -> chosen.forEach(this::dies));
                        stage.after(at + (long) t.factor(), () -> chosen.forEach(this::returns));
                    }
                }
                case AGE -> {
                    List<Machine> chosen = choose(t.pick());
                    during(t, chosen, b -> {}, b -> {
                        dies(b);
                        stage.after(2 * SECOND, () -> returns(b));
                    });
                    for (int step = 1; step <= 10; step++) {
                        double factor = 1 + (t.factor() - 1) * step / 10;
                        stage.after(t.forNs() * step / 11, () -> chosen.forEach(b -> b.slowBy(factor)));
                    }
                }
                case ADD -> {
                    List<Machine> fresh = new ArrayList<>();
                    for (int i = 0; i < t.pick().count(); i++) {
                        Machine backend = stage.fresh();
                        stage.list(List.of(backend), Event.Listed.READY);
                        fresh.add(backend);
                    }
                    stage.note(t.text() + "  " + names(fresh));
                }
                case PREEMPT -> {
                    List<Machine> chosen = choose(t.pick());
                    stage.note(t.text() + "  " + names(chosen));
                    drains(chosen);
                    stage.after(
                            t.forNs(),
                            () -> chosen.forEach(b -> {
                                dies(b);
                                replace();
                            }));
                }
                case RELEASE -> release(t);
                case LIST_LIES -> {
                    List<Machine> chosen = choose(t.pick());
                    during(t, chosen, b -> {}, b -> stage.list(List.of(b), Event.Listed.READY));
                    stage.list(chosen, Event.Listed.GONE);
                }
                case LIST_BREAKS -> {
                    stage.note(t.text());
                    stage.breakList();
                }
                case KILL -> during(t, () -> stage.kill(t.number()), () -> stage.restart(t.number()));
                    // Standing still is a pace at which nothing leaves in the time it lasts.
                case PACE, STOP -> during(
                        t,
                        () -> stage.pace(t.number(), t.kind() == Script.Kind.PACE ? t.share() : 1e-6),
                        () -> stage.pace(t.number(), 1));
                case FREEZE -> during(t, () -> stage.freeze(t.number(), true), () -> stage.freeze(t.number(), false));
                case LEAVE -> during(t, () -> stage.leave(t.number()), () -> {
                    stage.kill(t.number());
                    stage.restart(t.number());
                });
                case STORE_AWAY -> during(t, () -> stage.storeAway(true), () -> stage.storeAway(false));
                case STORE_SLOW -> during(t, () -> stage.storeSlow((long) t.factor()), () -> stage.storeSlow(0));
                case STORE_LOSES -> during(t, () -> stage.storeLoses(t.share()), () -> stage.storeLoses(0));
                case CUT -> {
                    List<String> parts = t.from().equals("all")
                            ? List.of("store", "registry", "peers", "proxies")
                            : List.of(t.from());
                    during(
                            t,
                            () -> parts.forEach(part -> stage.cut(t.number(), part, true)),
                            () -> parts.forEach(part -> stage.cut(t.number(), part, false)));
                }
                case UNHEARD -> {
                    int some = (int) Math.round(t.share() * stage.proxies());
                    during(t, () -> stage.unheard(some, true), () -> stage.unheard(some, false));
                }
                default -> throw new IllegalStateException(t.kind().name());
            }
        } catch (RuntimeException failed) {
            stage.note("could not: " + t.text() + ": " + failed);
        }
    }

    private void dies(Machine backend) {
        backend.die();
        stage.list(List.of(backend), Event.Listed.GONE);
    }

    /** Silent first; the list learns of it later than of a process that ended. */
    private void vanishes(Machine backend) {
        backend.pause(600 * SECOND);
        stage.after(3 * SECOND, () -> {
            backend.die();
            backend.pause(0);
            stage.list(List.of(backend), Event.Listed.GONE);
        });
    }

    private void returns(Machine backend) {
        backend.pause(0);
        backend.startCold();
        stage.after(100_000_000L, () -> {
            if (backend.up()) {
                stage.list(List.of(backend), Event.Listed.READY);
            }
        });
    }

    private void drains(List<Machine> chosen) {
        chosen.forEach(b -> struck.add(b.id()));
        chosen.forEach(b -> b.drain(false));
        stage.list(chosen, Event.Listed.DRAINING);
    }

    private void replace() {
        stage.list(List.of(stage.fresh()), Event.Listed.READY);
    }

    /** Batch after batch: told to drain, ended after the drain, started again cold under the same id. */
    private void release(Script.Trouble t) {
        List<Machine> all = choose(t.pick());
        int batch = Math.max(1, (int) Math.round(t.share() * stage.machines().size()));
        stage.note(t.text() + "  " + all.size() + " backends, " + batch + " at a time");
        all.forEach(b -> troubled.add(b.id()));
        long pause = t.forNs() + 2 * SECOND;
        for (int from = 0, turn = 0; from < all.size(); from += batch, turn++) {
            List<Machine> some = List.copyOf(all.subList(from, Math.min(all.size(), from + batch)));
            stage.after(turn * pause, () -> drains(some));
            stage.after(turn * pause + t.forNs(), () -> some.forEach(this::dies));
            stage.after(turn * pause + t.forNs() + SECOND, () -> {
                some.forEach(this::returns);
                some.forEach(b -> troubled.remove(b.id()));
            });
        }
    }
}
