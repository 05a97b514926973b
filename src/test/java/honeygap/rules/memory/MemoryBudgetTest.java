package honeygap.rules.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import honeygap.rules.memory.MemoryBudget.Account;
import honeygap.rules.memory.MemoryBudget.Use;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against connections that each stay within their own limit and together take the whole heap. */
class MemoryBudgetTest {

    /** A heap of 80 bytes: 30 for requests, 40 with responses. */
    private final MemoryBudget budget = new MemoryBudget(80);
    private final List<String> released = new ArrayList<>();

    private Account hold(String name, Use use, long bytes, long now) {
        Account account = budget.open(() -> released.add(name));
        account.set(use, bytes, now);
        return account;
    }

    @Test
    void stalledRequestsAreGivenUpOldestFirst() {
        hold("first", Use.PARTIAL_REQUEST, 10, 0);
        hold("second", Use.PARTIAL_REQUEST, 10, 10);
        hold("third", Use.PARTIAL_REQUEST, 10, 3000);
        assertEquals(List.of(), released);
        hold("fourth", Use.PARTIAL_REQUEST, 5, 3000);
        assertEquals(List.of("first"), released);
        assertEquals(25, budget.heldBytes());
        assertEquals(1, budget.releasedCount(Use.PARTIAL_REQUEST));
    }

    /** Trickling does not make a request younger than one that has just begun. */
    @Test
    void ageCountsFromTheFirstByte() {
        Account trickling = hold("trickling", Use.PARTIAL_REQUEST, 1, 0);
        hold("new", Use.PARTIAL_REQUEST, 20, 4999);
        trickling.set(Use.PARTIAL_REQUEST, 15, 5000);
        assertEquals(List.of("trickling"), released);
    }

    @Test
    void withoutStalledRequestsTheNewestIsGivenUp() {
        hold("first", Use.PARTIAL_REQUEST, 20, 0);
        hold("second", Use.PARTIAL_REQUEST, 20, 100);
        assertEquals(List.of("second"), released);
    }

    @Test
    void openRequestsAreKeptAndNewOnesRejected() {
        Account open = hold("open", Use.OPEN_REQUEST, 31, 0);
        hold("partial", Use.PARTIAL_REQUEST, 1, 0);
        assertEquals(List.of("partial"), released);
        assertFalse(budget.admitsRequest(0));
        open.clear();
        assertTrue(budget.admitsRequest(0));
        assertEquals(1, budget.rejectedCount());
    }

    @Test
    void responsesAreGivenUpAtTheHigherLimitOnly() {
        hold("unread", Use.UNREAD_RESPONSE, 39, 0);
        assertFalse(budget.admitsRequest(5000));
        hold("answer", Use.PARTIAL_RESPONSE, 1, 5000);
        assertEquals(List.of(), released);
        hold("another", Use.PARTIAL_RESPONSE, 1, 5000);
        assertEquals(List.of("unread"), released);
    }

    /** The room that is made for a request is the request's own. */
    @Test
    void roomIsMadeForARequest() {
        hold("stopped", Use.PARTIAL_REQUEST, 30, 0);
        hold("open", Use.OPEN_REQUEST, 29, 5000);
        assertEquals(List.of("stopped"), released);
        assertTrue(budget.admitsRequest(5000));
    }

    @Test
    void reservedHeapIsNotShared() {
        budget.reserve(40);
        assertEquals(15, budget.maxBytesForRequests());
    }

    /** A change of use counts what is held anew. */
    @Test
    void useOfAnAccountChanges() {
        Account account = hold("connection", Use.PARTIAL_REQUEST, 20, 0);
        account.set(Use.OPEN_REQUEST, 25, 10);
        assertEquals(25, budget.heldBytes());
        account.set(Use.UNREAD_RESPONSE, 0, 20);
        assertEquals(0, budget.heldBytes());
    }

    /** Input that waits behind open requests is given up where there is most of it, and before anything else. */
    @Test
    void largestQueueIsGivenUpFirst() {
        MemoryBudget budget = new MemoryBudget(8000);
        java.util.List<String> released = new java.util.ArrayList<>();
        MemoryBudget.Account small = budget.open(() -> released.add("small"));
        MemoryBudget.Account large = budget.open(() -> released.add("large"));
        MemoryBudget.Account partial = budget.open(() -> released.add("partial"));
        small.set(MemoryBudget.Use.QUEUED_INPUT, 300, 0);
        large.set(MemoryBudget.Use.QUEUED_INPUT, 1500, 0);
        partial.set(MemoryBudget.Use.PARTIAL_REQUEST, 1000, 0);
        assertEquals(java.util.List.of(), released);
        small.set(MemoryBudget.Use.QUEUED_INPUT, 600, 0);
        assertEquals(java.util.List.of("large"), released);
        assertEquals(1600, budget.heldBytes());
    }
}
