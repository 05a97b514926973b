package honeygap.share.host;

import honeygap.net.Counters;
import honeygap.net.Shared;
import honeygap.net.door.Aside;
import honeygap.net.http.Refusal;
import honeygap.read.Malformed;
import honeygap.share.exchange.Form;
import honeygap.share.exchange.Message;
import honeygap.share.exchange.Partners;
import honeygap.share.lock.Discipline;
import honeygap.share.lock.Rank;
import honeygap.share.lock.RankedLock;
import honeygap.share.member.Members;
import honeygap.share.member.Peer;
import honeygap.share.table.Held;
import honeygap.share.table.Known;
import honeygap.share.table.Life;
import honeygap.share.table.Parcel;
import honeygap.share.table.Table;
import honeygap.share.table.Tally;
import honeygap.share.work.Budget;
import honeygap.share.work.Kind;
import honeygap.share.work.Workers;
import honeygap.spread.Others;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.apache.commons.rng.simple.RandomSource;
import org.tinylog.Logger;

/**
 * The part of a process that shares tables with others, beside its loop. A clock offers work each round; workers probe,
 * exchange and expire; what others ask for is answered on a thread of its own from the tables. The loop puts its figures
 * into a bounded box and reads what is published: it never waits for a lock here. Locks are taken one at a time.
 */
public final class Sites implements Aside, Shared, Counters.Group, AutoCloseable {

    /** Tables by name: who is there, whom each suspects, and what each has out at appliances. */
    private static final String MEMBERS = "members", SUSPECTS = "suspects", LOAD = "load";
    private static final String PROBE = "/v1/share/probe", RELAY = "/v1/share/relay/", EXCHANGE = "/v1/share/exchange";
    private static final int HELPERS = 3;
    private static final int ASKED_MOST = 64;
    private static final int BOX = 4;
    private static final long LOCK_LONGEST_NS = 200_000_000;
    /** Digests may take as much again as entries. */
    private static final int BODY = 4;

    private final SitesSheet sheet;
    private final Life life;
    private final Discipline discipline = new Discipline(LOCK_LONGEST_NS);
    private final RankedLock membersLock = new RankedLock(Rank.MEMBERS, discipline);
    private final RankedLock loadLock = new RankedLock(Rank.LOAD, discipline);
    private final RankedLock partnersLock = new RankedLock(Rank.PARTNERS, discipline);
    private final Map<String, Table> tables = new LinkedHashMap<>();
    private final Members members;
    private final Partners partners;
    private final Workers workers;
    private final Calls calls;
    private final ScheduledExecutorService rounds = Executors.newSingleThreadScheduledExecutor(daemon("rounds"));
    private final ThreadPoolExecutor asked = new ThreadPoolExecutor(1, 1, 1, TimeUnit.MINUTES,
            new ArrayBlockingQueue<>(ASKED_MOST), daemon("asked"));
    private final ArrayBlockingQueue<Map<String, Integer>> box = new ArrayBlockingQueue<>(BOX);
    private volatile Map<String, Double> others = Map.of();
    private volatile String address;
    private final AtomicLong boxFull = new AtomicLong(), spoilt = new AtomicLong(), newer = new AtomicLong();
    private final AtomicLong unreached = new AtomicLong(), exchanged = new AtomicLong(), busy = new AtomicLong();
    private final AtomicLong beyond = new AtomicLong(), sent = new AtomicLong();

    /** The generation tells this life from earlier ones; the token opens others' doors and may be empty. */
    public Sites(SitesSheet sheet, long generation, String token) {
        this.sheet = sheet;
        life = new Life(sheet.name, generation);
        long now = clock();
        for (String name : new String[] {MEMBERS, SUSPECTS, LOAD}) {
            tables.put(name, new Table(name, life, now, sheet.bounds));
        }
        var chance = RandomSource.XO_RO_SHI_RO_128_PP.create(generation);
        members = new Members(sheet.name, sheet.every, now, chance);
        partners = new Partners(sheet.site, RandomSource.XO_RO_SHI_RO_128_PP.create(generation + 1));
        Map<Kind, Budget> budgets = new EnumMap<>(Kind.class);
        for (Kind kind : Kind.values()) {
            budgets.put(kind, new Budget(Math.max(1, sheet.workers - 1), 2 * sheet.workers, sheet.every, 2 * sheet.every));
        }
        workers = new Workers(sheet.workers, budgets, Sites::clock, discipline);
        calls = new Calls(token, sheet.answerWithin, BODY * sheet.roundBytes, sheet.proxy);
    }

    private static java.util.concurrent.ThreadFactory daemon(String name) {
        return task -> {
            Thread thread = new Thread(null, task, name, 1 << 18);
            thread.setDaemon(true);
            return thread;
        };
    }

    private static long clock() {
        return System.nanoTime() / 100_000;
    }

    /** From then on others may come: the door listens there. */
    public void start(InetSocketAddress door) {
        InetSocketAddress at = sheet.advertise == null ? door : sheet.advertise;
        address = at.getAddress().getHostAddress() + ":" + at.getPort();
        rounds.scheduleAtFixedRate(this::round, 0, Math.max(1, sheet.every / 10), TimeUnit.MILLISECONDS);
    }

    @Override
    public long every() {
        return sheet.every;
    }

    /** One too many is dropped and counted. */
    @Override
    public void figures(Map<String, Integer> out) {
        if (!box.offer(out)) {
            boxFull.incrementAndGet();
        }
    }

    @Override
    public Map<String, Double> others() {
        return others;
    }

    private void round() {
        try {
            List<Peer> draw = new ArrayList<>();
            Peer target = membersLock.hold(() -> {
                long now = clock();
                tables.get(MEMBERS).now(now);
                tables.get(SUSPECTS).now(now);
                members.now(now);
                tell();
                draw.addAll(members.peers());
                return members.target();
            });
            if (target != null) {
                workers.offer(Kind.PROBE, target.name, () -> probe(target));
            }
            for (Peer partner : partnersLock.hold(() -> partners.draw(draw))) {
                workers.offer(Kind.EXCHANGE, partner.name, () -> exchange(partner.name, partner.address));
            }
            for (InetSocketAddress seed : sheet.seeds) {
                String at = seed.getAddress().getHostAddress() + ":" + seed.getPort();
                if (!at.equals(address) && draw.stream().noneMatch(peer -> peer.address.equals(at)
                        && peer.standing() == Peer.Standing.ALIVE)) {
                    workers.offer(Kind.EXCHANGE, at, () -> exchange(at, at));
                }
            }
            workers.offer(Kind.EXPIRE, "", this::expire);
        } catch (RuntimeException e) {
            Logger.error(e, "a round failed, gone on from");
        }
    }

    /** What this process says of itself and of those that it suspects; under the lock of members. */
    private void tell() {
        Table own = tables.get(MEMBERS);
        own.put("self", members.incarnation() + " " + address + " " + sheet.site, sheet.bounds.ttl());
        Table suspects = tables.get(SUSPECTS);
        List<Peer> suspected = members.accusations();
        suspects.retain(suspected.stream().map(peer -> peer.name).toList());
        for (Peer peer : suspected) {
            suspects.put(peer.name, peer.generation + " " + peer.incarnation, sheet.bounds.ttl());
        }
    }

    private void probe(Peer target) {
        long within = membersLock.hold(() -> members.patience(sheet.answerWithin));
        if (reaches(target.address, PROBE, within)) {
            membersLock.run(() -> at(() -> members.answered(target.name, true)));
            return;
        }
        List<Peer> helpers = membersLock.hold(() -> new ArrayList<>(members.helpers(target.name, HELPERS)));
        boolean heard = false;
        for (Peer helper : helpers) {
            try {
                discipline.mayWait("a relayed probe");
                Message answer = calls.call(helper.address, RELAY + target.address, Message.of(sheet.name), 2 * within);
                heard = true;
                if (answer.parts().containsKey("reached")) {
                    membersLock.run(() -> at(() -> members.answered(target.name, false)));
                    return;
                }
            } catch (IOException | Malformed e) {
                unreached.incrementAndGet();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        boolean others = heard;
        membersLock.run(() -> at(() -> members.missed(target.name, others)));
    }

    private void at(Runnable told) {
        members.now(clock());
        told.run();
    }

    private boolean reaches(String at, String path, long within) {
        try {
            discipline.mayWait("a probe");
            calls.call(at, path, Message.of(sheet.name), within);
            return true;
        } catch (IOException | Malformed | IllegalArgumentException e) {
            unreached.incrementAndGet();
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private RankedLock lock(String table) {
        return table.equals(LOAD) ? loadLock : membersLock;
    }

    private <T> T with(String name, Supplier<T> task) {
        return lock(name).hold(() -> {
            tables.get(name).now(clock());
            return task.get();
        });
    }

    /** Digests there, what this one lacks back, and then what the other lacks. */
    private void exchange(String name, String at) {
        Message digests = Message.of(sheet.name);
        for (String table : tables.keySet()) {
            digests.parts().put(table, new Message.Part(with(table, tables.get(table)::digest), List.of()));
        }
        try {
            discipline.mayWait("an exchange");
            long began = clock();
            Message answer = calls.call(at, EXCHANGE, digests, 2 * sheet.answerWithin);
            long underWay = clock() - began;
            newer.addAndGet(answer.isNewer() ? 1 : 0);
            Message more = Message.of(sheet.name);
            for (Map.Entry<String, Message.Part> part : answer.parts().entrySet()) {
                if (tables.containsKey(part.getKey())) {
                    List<Parcel> lacking = with(part.getKey(), () -> {
                        Table table = tables.get(part.getKey());
                        table.take(part.getValue().parcels(), underWay);
                        return table.lackingOf(part.getValue().digest(), sheet.roundBytes);
                    });
                    if (!lacking.isEmpty()) {
                        more.parts().put(part.getKey(), new Message.Part(List.of(), lacking));
                    }
                }
            }
            hear();
            if (!more.parts().isEmpty()) {
                discipline.mayWait("an exchange");
                calls.call(at, EXCHANGE, more, 2 * sheet.answerWithin);
            }
            exchanged.incrementAndGet();
        } catch (Malformed e) {
            spoilt.incrementAndGet();
            Logger.debug("exchange with {}: {}", name, e.getMessage());
        } catch (IOException | IllegalArgumentException e) {
            unreached.incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What the tables of members now say goes to the one that judges. */
    private void hear() {
        membersLock.run(() -> {
            members.now(clock());
            tables.get(MEMBERS).each((owner, held) -> {
                String[] words = held.entry().value().split(" ");
                if (words.length >= 3 && words[0].matches("[0-9]{1,18}")) {
                    members.listed(owner.name, owner.generation, Long.parseLong(words[0]), words[1], words[2]);
                    members.heard(owner.name, held.writtenAt());
                }
            });
            tables.get(SUSPECTS).each((owner, held) -> {
                String[] words = held.entry().value().split(" ");
                if (words.length >= 2 && words[0].matches("[0-9]{1,18}") && words[1].matches("[0-9]{1,18}")) {
                    members.accused(owner.name, held.entry().name(), Long.parseLong(words[0]), Long.parseLong(words[1]));
                }
            });
            for (Peer peer : members.judge()) {
                Logger.info("{} at {} is {}", peer.name, peer.address, peer.standing());
            }
        });
    }

    /** Takes the loop's figures out of the box, lets go of what no longer holds, and publishes. */
    private void expire() {
        Map<String, Integer> newest = null;
        for (Map<String, Integer> figures = box.poll(); figures != null; figures = box.poll()) {
            newest = figures;
        }
        Map<String, Integer> out = newest;
        Others sums = new Others(sheet.bounds.ttl(), sheet.mostOut);
        with(LOAD, () -> {
            Table load = tables.get(LOAD);
            if (out != null) {
                load.retain(out.keySet());
                out.forEach((appliance, many) -> load.put(appliance, Integer.toString(many), sheet.bounds.ttl()));
            }
            load.expire();
            long now = clock();
            load.each((owner, held) -> {
                if (!owner.name.equals(sheet.name)) {
                    sums.told(held.entry().name(), number(held), now - held.writtenAt());
                }
            });
            return null;
        });
        others = sums.sums();
        beyond.addAndGet(sums.beyond());
        membersLock.run(() -> {
            long now = clock();
            for (String name : new String[] {MEMBERS, SUSPECTS}) {
                tables.get(name).now(now);
                tables.get(name).expire();
            }
        });
        hear();
    }

    private static double number(Held held) {
        try {
            return Double.parseDouble(held.entry().value());
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    @Override
    public boolean takes(String path) {
        return path.startsWith("/v1/share/");
    }

    @Override
    public int longest() {
        return BODY * sheet.roundBytes;
    }

    @Override
    public void answer(String method, String path, byte[] body, Reply reply) {
        Runnable task = () -> {
            try {
                reply.reply(200, answer(method, path, body));
            } catch (Refusal e) {
                reply.refuse(e);
            } catch (Malformed e) {
                spoilt.incrementAndGet();
                reply.refuse(new Refusal(400, "field", e.getMessage()));
            } catch (IOException | RuntimeException e) {
                reply.refuse(new Refusal(500, "fault", String.valueOf(e.getMessage())));
            }
        };
        if (method.equals("POST") && path.startsWith(RELAY)) {
            // Waits for a third one: that is a worker's business.
            if (!workers.offer(Kind.PROBE, path, () -> relay(path.substring(RELAY.length()), reply))) {
                busy.incrementAndGet();
                reply.refuse(new Refusal(503, "busy", "no worker for it"));
            }
            return;
        }
        try {
            asked.execute(task);
        } catch (java.util.concurrent.RejectedExecutionException e) {
            busy.incrementAndGet();
            reply.refuse(new Refusal(503, "busy", "too much is asked for at once"));
        }
    }

    private void relay(String target, Reply reply) {
        Message answer = Message.of(sheet.name);
        if (target.matches("[0-9.]{7,15}:[0-9]{1,5}") && reaches(target, PROBE, sheet.answerWithin)) {
            answer.parts().put("reached", new Message.Part(List.of(), List.of()));
        }
        try {
            reply.reply(200, Form.write(answer));
        } catch (IOException e) {
            reply.refuse(new Refusal(500, "fault", String.valueOf(e.getMessage())));
        }
    }

    private byte[] answer(String method, String path, byte[] body) throws Refusal, IOException, Malformed {
        switch (method + " " + path) {
            case "POST " + PROBE:
                return Form.write(Message.of(sheet.name));
            case "POST " + EXCHANGE:
                Message told = Form.read(body);
                newer.addAndGet(told.isNewer() ? 1 : 0);
                Message answer = Message.of(sheet.name);
                for (Map.Entry<String, Message.Part> part : told.parts().entrySet()) {
                    Table table = tables.get(part.getKey());
                    if (table != null) {
                        answer.parts().put(part.getKey(), with(part.getKey(), () -> {
                            table.take(part.getValue().parcels(), 0);
                            List<Known> digest = part.getValue().digest();
                            return new Message.Part(table.behind(digest), digest.isEmpty() ? List.of()
                                    : table.lacking(digest, sheet.roundBytes));
                        }));
                    }
                }
                hear();
                byte[] bytes = Form.write(answer);
                sent.addAndGet(bytes.length);
                return bytes;
            case "GET /v1/share/members":
                return standings();
            default:
                throw new Refusal(404, "other path", "nothing is here");
        }
    }

    private byte[] standings() {
        StringBuilder words = new StringBuilder();
        membersLock.run(() -> {
            words.append("{\"name\":\"").append(sheet.name).append("\",\"cutOff\":").append(members.isCutOff())
                    .append(",\"members\":{");
            boolean isFirst = true;
            for (Peer peer : members.peers()) {
                words.append(isFirst ? "" : ",").append('"').append(peer.name).append("\":\"")
                        .append(members.isDoubted(peer) ? "DOUBTED" : peer.standing()).append('"');
                isFirst = false;
            }
        });
        return words.append("}}").toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    @Override
    public void report(Counters counters) {
        // The loop must not wait for a lock: what needs one is asked for beside it.
        counters.count("exchanged", exchanged.get());
        counters.count("unreached", unreached.get());
        counters.count("spoilt", spoilt.get());
        counters.count("newer form", newer.get());
        counters.count("turned away", busy.get());
        counters.count("box full", boxFull.get());
        counters.count("load out of bounds", beyond.get());
        counters.count("bytes answered", sent.get());
        counters.count("workers died", workers.died());
        counters.count("work failed", workers.failed());
        counters.count("locks out of order", discipline.outOfOrder());
        counters.count("locks held long", discipline.heldLong());
        counters.count("locks held over waits", discipline.heldOverIo());
        counters.count("generations raised", tables.values().stream().mapToLong(
                table -> table.tally().of(Tally.Kind.OWN_NAME)).sum());
    }

    @Override
    public void close() {
        rounds.shutdownNow();
        asked.shutdownNow();
        workers.close();
    }
}
