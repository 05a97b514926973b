package honeygap.share;

import honeygap.share.exchange.PartnerSelector;
import honeygap.share.member.FailureDetector;
import honeygap.share.member.Peer;
import honeygap.share.table.TableLimits;
import honeygap.share.table.ProcessIdentity;
import honeygap.share.table.ReplicatedTable;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Processes of several sites in one, on a clock and links of the test's own; a seed decides all. */
final class Town {

    static final long SECOND = 10_000;
    /** A round, and how long an answer may take. */
    static final long EVERY = SECOND;
    static final long WITHIN = SECOND / 2;
    private static final TableLimits BOUNDS = new TableLimits(2000, 2000, 40, 200, 60 * SECOND);

    /** Time from one process to another just now, in tenths of a millisecond; a negative one is never. */
    interface Links {

        long delay(int from, int to, long now);
    }

    static final class Process {
        final int number;
        final String name;
        final String site;
        final long zero;
        ProcessIdentity life;
        ReplicatedTable members;
        ReplicatedTable suspects;
        FailureDetector detector;
        PartnerSelector partners;
        long nextAt;
        /** Stopped, or killed, until then; a killed one begins anew. */
        long awayUntil = Long.MIN_VALUE;
        boolean killed;
        long bytes;

        Process(int number, String site, long zero) {
            this.number = number;
            this.name = "p" + number;
            this.site = site;
            this.zero = zero;
        }
    }

    final UniformRandomProvider chance;
    final List<Process> all = new ArrayList<>();
    Links links = (from, to, now) -> 10;
    long now;

    Town(int many, int sites, long seed) {
        chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < many; i++) {
            // Clocks that are minutes apart.
            Process process = new Process(i, "s" + i % sites, chance.nextLong(120 * SECOND));
            all.add(process);
            begin(process, 1);
            process.nextAt = chance.nextLong(EVERY);
        }
        for (Process one : all) {
            for (Process other : all) {
                one.detector.memberAnnounced(other.name, 1, 1, "at" + other.number, other.site);
            }
        }
    }

    void begin(Process process, long generation) {
        long time = now + process.zero;
        process.life = new ProcessIdentity(process.name, generation);
        process.members = new ReplicatedTable("members", process.life, time, BOUNDS);
        process.suspects = new ReplicatedTable("suspects", process.life, time, BOUNDS);
        process.detector = new FailureDetector(process.name, EVERY, time, chance);
        process.partners = new PartnerSelector(process.site, chance);
        process.killed = false;
    }

    boolean isAway(Process process) {
        return now < process.awayUntil;
    }

    /** Whether a question gets there and its answer back within so long. */
    boolean reaches(Process from, Process to, long within) {
        long there = links.delay(from.number, to.number, now);
        long back = links.delay(to.number, from.number, now);
        return !isAway(to) && there >= 0 && back >= 0 && there + back <= within;
    }

    void run(long until) {
        while (now < until) {
            now += EVERY / 20;
            for (Process process : all) {
                if (!isAway(process) && now >= process.nextAt) {
                    process.nextAt = now + EVERY;
                    if (process.killed) {
                        begin(process, process.life.generation() + 1);
                        all.forEach(other -> process.detector.memberAnnounced(other.name, 1, 1, "at" + other.number, other.site));
                    }
                    round(process);
                }
            }
        }
    }

    private Process named(String name) {
        return all.get(Integer.parseInt(name.substring(1)));
    }

    private void round(Process process) {
        tell(process);
        Peer target = process.detector.nextProbeTarget();
        if (target != null) {
            long within = process.detector.probeTimeout(WITHIN);
            Process other = named(target.name);
            if (reaches(process, other, within)) {
                process.detector.probeSucceeded(target.name, true);
            } else {
                boolean answered = false;
                boolean heard = false;
                for (Peer helper : process.detector.indirectProbers(target.name, 3)) {
                    Process by = named(helper.name);
                    boolean isHere = reaches(process, by, 2 * within);
                    heard |= isHere;
                    answered |= isHere && reaches(by, other, within);
                }
                if (answered) {
                    process.detector.probeSucceeded(target.name, false);
                } else {
                    process.detector.probeFailed(target.name, heard);
                }
            }
        }
        for (Peer partner : process.partners.select(process.detector.peers())) {
            Process other = named(partner.name);
            if (reaches(process, other, 4 * WITHIN)) {
                exchange(process, process.members, other, other.members);
                exchange(process, process.suspects, other, other.suspects);
            }
        }
        hear(process);
        process.detector.evaluate();
    }

    /** What this process says of itself and of those that it suspects. */
    private void tell(Process process) {
        long time = now + process.zero;
        process.detector.setNow(time);
        process.members.setNow(time);
        process.suspects.setNow(time);
        process.members.put("self", process.detector.incarnation() + " at" + process.number + " " + process.site,
                20 * EVERY);
        List<Peer> suspected = process.detector.suspectedPeers();
        process.suspects.retainOnly(suspected.stream().map(peer -> peer.name).toList());
        for (Peer peer : suspected) {
            String value = peer.generation + " " + peer.incarnation;
            var held = process.suspects.get(process.name, peer.name);
            if (held == null || !held.entry().value().equals(value)) {
                process.suspects.put(peer.name, value, 20 * EVERY);
            }
        }
    }

    private void exchange(Process a, ReplicatedTable of, Process b, ReplicatedTable with) {
        long timeB = now + b.zero;
        with.setNow(timeB);
        var forB = of.deltasFor(with.digest(), 1 << 20);
        var forA = with.deltasFor(of.digest(), 1 << 20);
        with.merge(forB, 0);
        of.merge(forA, 0);
        hear(b);
    }

    private void hear(Process process) {
        process.detector.setNow(now + process.zero);
        for (var owner : process.members.owners()) {
            if (owner.updatedAt > Long.MIN_VALUE && process.detector.peer(owner.name) != null
                    && process.detector.peer(owner.name).generation <= owner.generation) {
                var held = process.members.get(owner.name, "self");
                if (held != null) {
                    String[] words = held.entry().value().split(" ");
                    process.detector.memberAnnounced(owner.name, owner.generation, Long.parseLong(words[0]), words[1], words[2]);
                    process.detector.updateReceived(owner.name, held.writtenAt());
                }
            }
        }
        process.suspects.forEachLive((owner, held) -> {
            String[] words = held.entry().value().split(" ");
            process.detector.suspicionReceived(owner.name, held.entry().name(), Long.parseLong(words[0]), Long.parseLong(words[1]));
        });
    }

    /** Pairs in which one that is there holds another for this. */
    int pairs(Peer.Standing standing, boolean ofAway) {
        int pairs = 0;
        for (Process one : all) {
            for (Process other : all) {
                Peer peer = one.detector.peer(other.name);
                pairs += one != other && !isAway(one) && isAway(other) == ofAway && peer != null
                        && peer.standing() == standing ? 1 : 0;
            }
        }
        return pairs;
    }
}
