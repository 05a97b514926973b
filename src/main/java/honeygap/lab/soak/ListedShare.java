package honeygap.lab.soak;

import java.util.HashSet;
import java.util.Set;

/**
 * Counts the requests that were sent while their agent was known to have a current list, and those of them that were
 * served. An agent whose process has heard nothing from discovery for longer may have to refuse everything.
 *
 * @param requests requests that were sent to such a process
 * @param served those of them that were served
 */
record ListedShare(long requests, long served) {

    /** Within this time after discovery wrote to a process, no change counts as known to it that it was not told. */
    private static final long LEASE_MS = 6000;

    static ListedShare of(SoakRecord record) {
        Set<String> servedIds = new HashSet<>();
        record.completions.stream().filter(completion -> completion.ending() == SoakRecord.Ending.SERVED)
                .forEach(completion -> servedIds.add(completion.id()));
        long requests = 0;
        long served = 0;
        for (SoakRecord.SentRequest request : record.sent.values()) {
            if (hasCurrentList(record, request)) {
                requests++;
                served += servedIds.contains(request.id()) ? 1 : 0;
            }
        }
        return new ListedShare(requests, served);
    }

    /** Whether discovery wrote to the process that the request was sent to, not long before. */
    private static boolean hasCurrentList(SoakRecord record, SoakRecord.SentRequest request) {
        return record.lifetimes.stream()
                .filter(process -> process.agent() == request.agent() && process.startedAt() <= request.at()
                        && request.at() < process.endedAt())
                .anyMatch(process -> record.listConfirmations.stream().anyMatch(written ->
                        written.agent() == request.agent() && written.at() >= process.startedAt()
                        && written.at() <= request.at() && request.at() < written.at() + LEASE_MS));
    }
}
