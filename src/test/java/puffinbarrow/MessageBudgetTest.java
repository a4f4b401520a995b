package puffinbarrow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Checks when {@link MessageBudget} lets messages go, in units of time of its own. */
class MessageBudgetTest {
    @Test
    void unusedBudgetAllowsAMessageAtOnce() {
        assertTrue(new MessageBudget(100, 5, 20).nextNs() <= 0);
    }

    @Test
    void burstIsAllowedAsLongAsTheIntervalCanBeKeptAfterIt() {
        MessageBudget budget = new MessageBudget(100, 5, 40);
        budget.add(0);
        budget.add(1);
        budget.add(2);
        // Two are left until 101; sent 40 apart, the first of them must not go before 21.
        assertEquals(21, budget.nextNs());
    }

    @Test
    void messagesLeaveTheCountAfterTheSpan() {
        MessageBudget budget = new MessageBudget(100, 5, 20);
        budget.add(0);
        budget.add(10);
        assertEquals(2, budget.count(100));
        assertEquals(1, budget.count(101));
    }

    @Test
    void messagesBeyondTheLimitDelayTheNextUntilEnoughHaveLeft() {
        MessageBudget budget = new MessageBudget(100, 3, 50);
        for (int time = 0; time < 5; time++) {
            budget.add(time);
        }
        // Those of 0, 1 and 2 must have left the span, so that with the new one there are three.
        assertEquals(103, budget.nextNs());
    }

    @Test
    void nextMessageIsNeverFartherThanTheIntervalAndTheLimitHolds() {
        Random random = new Random(5);
        for (int run = 0; run < 200; run++) {
            int allowed = 1 + random.nextInt(12);
            long interval = 1000 / allowed + 1 + random.nextInt(300);
            MessageBudget budget = new MessageBudget(1000, allowed, interval);
            List<Long> sent = new ArrayList<>();
            long now = 0;
            for (int i = 0; i < 100; i++) {
                now = Math.max(now + random.nextInt(200), budget.nextNs());
                long latest = sent.isEmpty() ? now : sent.get(sent.size() - 1);
                assertTrue(budget.nextNs() <= latest + interval, "the next message has to wait too long");
                budget.add(now);
                sent.add(now);
                long end = now;
                assertTrue(sent.stream().filter(time -> end - time <= 1000).count() <= allowed);
            }
        }
    }
}
