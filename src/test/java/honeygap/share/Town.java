package honeygap.share;

import honeygap.share.exchange.Partners;
import honeygap.share.member.Members;
import honeygap.share.member.Peer;
import honeygap.share.table.Bounds;
import honeygap.share.table.Life;
import honeygap.share.table.Table;
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
    private static final Bounds BOUNDS = new Bounds(2000, 2000, 40, 200, 60 * SECOND);

    /** Time from one process to another just now, in tenths of a millisecond; a negative one is never. */
    interface Links {

        long delay(int from, int to, long now);
    }

    static final class Process {
        final int number;
        final String name;
        final String site;
        final long zero;
        Life life;
        Table members;
        Table suspects;
        Members detector;
        Partners partners;
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
                one.detector.listed(other.name, 1, 1, "at" + other.number, other.site);
            }
        }
    }

    void begin(Process process, long generation) {
        long time = now + process.zero;
        process.life = new Life(process.name, generation);
        process.members = new Table("members", process.life, time, BOUNDS);
        process.suspects = new Table("suspects", process.life, time, BOUNDS);
        process.detector = new Members(process.name, EVERY, time, chance);
        process.partners = new Partners(process.site, chance);
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
                        all.forEach(other -> process.detector.listed(other.name, 1, 1, "at" + other.number, other.site));
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
        Peer target = process.detector.target();
        if (target != null) {
            long within = process.detector.patience(WITHIN);
            Process other = named(target.name);
            if (reaches(process, other, within)) {
                process.detector.answered(target.name, true);
            } else {
                boolean answered = false;
                boolean heard = false;
                for (Peer helper : process.detector.helpers(target.name, 3)) {
                    Process by = named(helper.name);
                    boolean isHere = reaches(process, by, 2 * within);
                    heard |= isHere;
                    answered |= isHere && reaches(by, other, within);
                }
                if (answered) {
                    process.detector.answered(target.name, false);
                } else {
                    process.detector.missed(target.name, heard);
                }
            }
        }
        for (Peer partner : process.partners.draw(process.detector.peers())) {
            Process other = named(partner.name);
            if (reaches(process, other, 4 * WITHIN)) {
                exchange(process, process.members, other, other.members);
                exchange(process, process.suspects, other, other.suspects);
            }
        }
        hear(process);
        process.detector.judge();
    }

    /** What this process says of itself and of those that it suspects. */
    private void tell(Process process) {
        long time = now + process.zero;
        process.detector.now(time);
        process.members.now(time);
        process.suspects.now(time);
        process.members.put("self", process.detector.incarnation() + " at" + process.number + " " + process.site,
                20 * EVERY);
        List<Peer> suspected = process.detector.accusations();
        process.suspects.retain(suspected.stream().map(peer -> peer.name).toList());
        for (Peer peer : suspected) {
            String value = peer.generation + " " + peer.incarnation;
            var held = process.suspects.get(process.name, peer.name);
            if (held == null || !held.entry().value().equals(value)) {
                process.suspects.put(peer.name, value, 20 * EVERY);
            }
        }
    }

    private void exchange(Process a, Table of, Process b, Table with) {
        long timeB = now + b.zero;
        with.now(timeB);
        var forB = of.lacking(with.digest(), 1 << 20);
        var forA = with.lacking(of.digest(), 1 << 20);
        with.take(forB, 0);
        of.take(forA, 0);
        hear(b);
    }

    private void hear(Process process) {
        process.detector.now(now + process.zero);
        for (var owner : process.members.owners()) {
            if (owner.heardAt > Long.MIN_VALUE && process.detector.peer(owner.name) != null
                    && process.detector.peer(owner.name).generation <= owner.generation) {
                var held = process.members.get(owner.name, "self");
                if (held != null) {
                    String[] words = held.entry().value().split(" ");
                    process.detector.listed(owner.name, owner.generation, Long.parseLong(words[0]), words[1], words[2]);
                    process.detector.heard(owner.name, held.writtenAt());
                }
            }
        }
        process.suspects.each((owner, held) -> {
            String[] words = held.entry().value().split(" ");
            process.detector.accused(owner.name, held.entry().name(), Long.parseLong(words[0]), Long.parseLong(words[1]));
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
