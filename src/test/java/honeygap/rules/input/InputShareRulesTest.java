package honeygap.rules.input;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the shares of an iteration: their size, their order, and who waits. */
class InputShareRulesTest {

    private static int messagesInTurn(InputQuota quota, long now) {
        quota.startTurn(now);
        int messages = 0;
        while (quota.takeMessage()) {
            messages++;
        }
        return messages;
    }

    @Test
    void quotaIsTheSameInEachTurn() {
        InputQuota quota = new InputQuota();
        assertEquals(InputQuota.MESSAGES_PER_TURN, messagesInTurn(quota, 0));
        assertTrue(quota.isExceeded());
        assertEquals(InputQuota.MESSAGES_PER_TURN, messagesInTurn(quota, 1));
    }

    @Test
    void largeResponsesUseUpTheQuota() {
        InputQuota quota = new InputQuota();
        quota.startTurn(0);
        assertTrue(quota.takeMessage());
        quota.addResponse(1 << 20);
        assertFalse(quota.takeMessage());
        assertTrue(quota.isExceeded());
    }

    /** Messages without an RPC and small reads make a connection busy for a while; requests don't. */
    @Test
    void connectionIsBusyByWhatOpensNoRpc() {
        InputQuota quota = new InputQuota();
        for (int i = 0; i < 1000; i++) {
            quota.addRead(200, i);
            quota.startTurn(i);
            assertTrue(quota.takeMessage());
            quota.rpcOpened();
            assertFalse(quota.isBusy(i));
        }
        for (int i = 0; i < 1000; i++) {
            quota.addRead(1, 2000);
        }
        assertTrue(quota.isBusy(2000));
        assertFalse(quota.isBusy(3000));
    }

    @Test
    void backlogIsProcessedInTurns() {
        InputBacklog backlog = new InputBacklog();
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            int number = i;
            backlog.add(new InputBacklog.Waiting() {
                @Override
                public void processBacklog() {
                    order.add(number);
                    backlog.add(this);
                }
            });
        }
        int turns = 0;
        while (order.size() < 40) {
            backlog.startTurn();
            int before = order.size();
            for (InputBacklog.Waiting next = backlog.next(); next != null; next = backlog.next()) {
                next.processBacklog();
            }
            assertTrue(order.size() - before <= 8, "connections in a turn");
            turns++;
        }
        assertEquals(5, turns);
        for (int i = 0; i < 40; i++) {
            assertEquals(i % 20, order.get(i));
        }
    }

    @Test
    void closedConnectionLeavesTheBacklog() {
        InputBacklog backlog = new InputBacklog();
        InputBacklog.Waiting closed = () -> { };
        backlog.add(closed);
        backlog.remove(closed);
        backlog.startTurn();
        assertNull(backlog.next());
        assertTrue(backlog.isEmpty());
    }
}
