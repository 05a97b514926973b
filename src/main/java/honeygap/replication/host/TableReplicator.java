package honeygap.replication.host;

import honeygap.net.Counters;
import honeygap.net.LoadSharing;
import honeygap.net.admin.AsyncHandler;
import honeygap.net.http.Refusal;
import honeygap.config.Malformed;
import honeygap.replication.exchange.MessageCodec;
import honeygap.replication.exchange.Message;
import honeygap.replication.exchange.PartnerSelector;
import honeygap.replication.lock.LockMonitor;
import honeygap.replication.lock.Rank;
import honeygap.replication.lock.RankedLock;
import honeygap.replication.member.FailureDetector;
import honeygap.replication.member.Peer;
import honeygap.replication.table.StoredEntry;
import honeygap.replication.table.DigestEntry;
import honeygap.replication.table.ProcessIdentity;
import honeygap.replication.table.Delta;
import honeygap.replication.table.ReplicatedTable;
import honeygap.replication.table.MergeCounts;
import honeygap.replication.work.WorkLimits;
import honeygap.replication.work.WorkKind;
import honeygap.replication.work.WorkerPool;
import honeygap.peerload.PeerLoad;
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
 * Shares tables with other processes, off the event loop. A timer submits work every round; worker threads probe
 * peers, exchange deltas and expire entries; incoming requests are answered from the tables on a thread of their own.
 * The event loop offers its load figures to a bounded queue and reads published results, so it never waits for a lock
 * in this class. A thread holds at most one lock at a time.
 */
public final class TableReplicator implements AsyncHandler, LoadSharing, Counters.Group, AutoCloseable {

    /** Table names: member announcements, peers suspected by each process, and picks in flight per appliance. */
    private static final String MEMBERS = "members", SUSPECTS = "suspects", LOAD = "load";
    private static final String PROBE = "/v1/share/probe", RELAY = "/v1/share/relay/", EXCHANGE = "/v1/share/exchange";
    private static final int INDIRECT_PROBERS = 3;
    private static final int REQUEST_QUEUE_CAPACITY = 64;
    private static final int LOAD_QUEUE_CAPACITY = 4;
    private static final long MAX_LOCK_HOLD_NS = 200_000_000;
    /** Bodies may be this many times the bytes per round: digests can be as large as the entries. */
    private static final int BODY_SIZE_FACTOR = 4;

    private final ReplicationSettings settings;
    private final ProcessIdentity identity;
    private final LockMonitor lockMonitor = new LockMonitor(MAX_LOCK_HOLD_NS);
    private final RankedLock membersLock = new RankedLock(Rank.MEMBERS, lockMonitor);
    private final RankedLock loadLock = new RankedLock(Rank.LOAD, lockMonitor);
    private final RankedLock partnersLock = new RankedLock(Rank.PARTNERS, lockMonitor);
    private final Map<String, ReplicatedTable> tables = new LinkedHashMap<>();
    private final FailureDetector failureDetector;
    private final PartnerSelector partnerSelector;
    private final WorkerPool workerPool;
    private final PeerClient peerClient;
    private final ScheduledExecutorService roundExecutor = Executors.newSingleThreadScheduledExecutor(
            daemonThreads("rounds"));
    private final ThreadPoolExecutor requestExecutor = new ThreadPoolExecutor(1, 1, 1, TimeUnit.MINUTES,
            new ArrayBlockingQueue<>(REQUEST_QUEUE_CAPACITY), daemonThreads("asked"));
    private final ArrayBlockingQueue<Map<String, Integer>> pendingLoads = new ArrayBlockingQueue<>(LOAD_QUEUE_CAPACITY);
    private volatile Map<String, Double> remoteLoads = Map.of();
    private volatile String ownAddress;
    private final AtomicLong droppedLoads = new AtomicLong(), malformedMessages = new AtomicLong(),
            newerVersionMessages = new AtomicLong();
    private final AtomicLong failedCalls = new AtomicLong(), completedExchanges = new AtomicLong(),
            rejectedRequests = new AtomicLong();
    private final AtomicLong loadsOutOfBounds = new AtomicLong(), responseBytes = new AtomicLong();

    /**
     * The generation distinguishes this process from earlier processes of the same name. The token authorizes calls
     * to the admin endpoints of other processes and may be empty.
     */
    public TableReplicator(ReplicationSettings settings, long generation, String token) {
        this.settings = settings;
        identity = new ProcessIdentity(settings.name, generation);
        long now = monotonicTime();
        for (String name : new String[] {MEMBERS, SUSPECTS, LOAD}) {
            tables.put(name, new ReplicatedTable(name, identity, now, settings.limits));
        }
        var random = RandomSource.XO_RO_SHI_RO_128_PP.create(generation);
        failureDetector = new FailureDetector(settings.name, settings.roundInterval, now, random);
        partnerSelector = new PartnerSelector(settings.site, RandomSource.XO_RO_SHI_RO_128_PP.create(generation + 1));
        Map<WorkKind, WorkLimits> limitsByKind = new EnumMap<>(WorkKind.class);
        for (WorkKind kind : WorkKind.values()) {
            limitsByKind.put(kind, new WorkLimits(Math.max(1, settings.workerThreads - 1), 2 * settings.workerThreads,
                    settings.roundInterval, 2 * settings.roundInterval));
        }
        workerPool = new WorkerPool(settings.workerThreads, limitsByKind, TableReplicator::monotonicTime, lockMonitor);
        peerClient = new PeerClient(token, settings.answerTimeout, BODY_SIZE_FACTOR * settings.maxRoundBytes,
                settings.proxy);
    }

    private static java.util.concurrent.ThreadFactory daemonThreads(String name) {
        return task -> {
            Thread thread = new Thread(null, task, name, 1 << 18);
            thread.setDaemon(true);
            return thread;
        };
    }

    private static long monotonicTime() {
        return System.nanoTime() / 100_000;
    }

    /** Starts the rounds and announces the address of this process; its admin endpoint already listens there. */
    public void start(InetSocketAddress listenAddress) {
        InetSocketAddress reachableAddress = settings.advertise == null ? listenAddress : settings.advertise;
        ownAddress = reachableAddress.getAddress().getHostAddress() + ":" + reachableAddress.getPort();
        roundExecutor.scheduleAtFixedRate(this::runRound, 0, Math.max(1, settings.roundInterval / 10),
                TimeUnit.MILLISECONDS);
    }

    @Override
    public long interval() {
        return settings.roundInterval;
    }

    /** Figures that do not fit into the queue are dropped and counted. */
    @Override
    public void publish(Map<String, Integer> loads) {
        if (!pendingLoads.offer(loads)) {
            droppedLoads.incrementAndGet();
        }
    }

    @Override
    public Map<String, Double> othersInFlight() {
        return remoteLoads;
    }

    private void runRound() {
        try {
            List<Peer> peers = new ArrayList<>();
            Peer target = membersLock.callLocked(() -> {
                long now = monotonicTime();
                tables.get(MEMBERS).setNow(now);
                tables.get(SUSPECTS).setNow(now);
                failureDetector.setNow(now);
                publishMembership();
                peers.addAll(failureDetector.peers());
                return failureDetector.nextProbeTarget();
            });
            if (target != null) {
                workerPool.offer(WorkKind.PROBE, target.name, () -> probe(target));
            }
            for (Peer partner : partnersLock.callLocked(() -> partnerSelector.select(peers))) {
                workerPool.offer(WorkKind.EXCHANGE, partner.name, () -> exchange(partner.name, partner.address));
            }
            for (InetSocketAddress seed : settings.seeds) {
                String seedAddress = seed.getAddress().getHostAddress() + ":" + seed.getPort();
                if (!seedAddress.equals(ownAddress) && peers.stream().noneMatch(
                        peer -> peer.address.equals(seedAddress) && peer.standing() == Peer.Standing.ALIVE)) {
                    workerPool.offer(WorkKind.EXCHANGE, seedAddress, () -> exchange(seedAddress, seedAddress));
                }
            }
            workerPool.offer(WorkKind.EXPIRE, "", this::expire);
        } catch (RuntimeException | Error e) {
            // An error too would otherwise end the rounds for good, in a process that lives on.
            Logger.error(e, "replication round failed; the next round runs as scheduled");
        }
    }

    /** Publishes this process's announcement and the peers that it suspects. Requires the members lock. */
    private void publishMembership() {
        ReplicatedTable membersTable = tables.get(MEMBERS);
        membersTable.put("self", failureDetector.incarnation() + " " + ownAddress + " " + settings.site,
                settings.limits.maxTtl());
        ReplicatedTable suspects = tables.get(SUSPECTS);
        List<Peer> suspected = failureDetector.suspectedPeers();
        suspects.retainOnly(suspected.stream().map(peer -> peer.name).toList());
        for (Peer peer : suspected) {
            suspects.put(peer.name, peer.generation + " " + peer.incarnation, settings.limits.maxTtl());
        }
    }

    private void probe(Peer target) {
        long timeout = membersLock.callLocked(() -> failureDetector.probeTimeout(settings.answerTimeout));
        if (isReachable(target.address, PROBE, timeout)) {
            membersLock.runLocked(() -> updateDetector(() -> failureDetector.probeSucceeded(target.name, true)));
            return;
        }
        List<Peer> helpers = membersLock.callLocked(() -> new ArrayList<>(
                failureDetector.indirectProbers(target.name, INDIRECT_PROBERS)));
        boolean helperAnswered = false;
        for (Peer helper : helpers) {
            try {
                lockMonitor.beforeBlocking("a relayed probe");
                Message response = peerClient.call(helper.address, RELAY + target.address, Message.of(settings.name),
                        2 * timeout);
                helperAnswered = true;
                if (response.sections().containsKey("reached")) {
                    membersLock.runLocked(() -> updateDetector(
                            () -> failureDetector.probeSucceeded(target.name, false)));
                    return;
                }
            } catch (IOException | Malformed e) {
                failedCalls.incrementAndGet();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        boolean anyHelperAnswered = helperAnswered;
        membersLock.runLocked(() -> updateDetector(() -> failureDetector.probeFailed(target.name, anyHelperAnswered)));
    }

    private void updateDetector(Runnable update) {
        failureDetector.setNow(monotonicTime());
        update.run();
    }

    private boolean isReachable(String targetAddress, String path, long timeout) {
        try {
            lockMonitor.beforeBlocking("a probe");
            peerClient.call(targetAddress, path, Message.of(settings.name), timeout);
            return true;
        } catch (IOException | Malformed | IllegalArgumentException e) {
            failedCalls.incrementAndGet();
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private RankedLock lockFor(String table) {
        return table.equals(LOAD) ? loadLock : membersLock;
    }

    private <T> T withTable(String name, Supplier<T> task) {
        return lockFor(name).callLocked(() -> {
            tables.get(name).setNow(monotonicTime());
            return task.get();
        });
    }

    /** Sends digests, merges the deltas that come back, and then sends the deltas that the partner lacks. */
    private void exchange(String partnerName, String partnerAddress) {
        Message digests = Message.of(settings.name);
        for (String table : tables.keySet()) {
            digests.sections().put(table,
                    new Message.TableSection(withTable(table, tables.get(table)::digest), List.of()));
        }
        try {
            lockMonitor.beforeBlocking("an exchange");
            long startedAt = monotonicTime();
            Message response = peerClient.call(partnerAddress, EXCHANGE, digests, 2 * settings.answerTimeout);
            long roundTrip = monotonicTime() - startedAt;
            newerVersionMessages.addAndGet(response.hasNewerVersion() ? 1 : 0);
            Message reply = Message.of(settings.name);
            for (Map.Entry<String, Message.TableSection> section : response.sections().entrySet()) {
                if (tables.containsKey(section.getKey())) {
                    List<Delta> deltas = withTable(section.getKey(), () -> {
                        ReplicatedTable table = tables.get(section.getKey());
                        table.merge(section.getValue().deltas(), roundTrip);
                        return table.deltasForListedOwners(section.getValue().digest(), settings.maxRoundBytes);
                    });
                    if (!deltas.isEmpty()) {
                        reply.sections().put(section.getKey(), new Message.TableSection(List.of(), deltas));
                    }
                }
            }
            updateMembership();
            if (!reply.sections().isEmpty()) {
                lockMonitor.beforeBlocking("an exchange");
                peerClient.call(partnerAddress, EXCHANGE, reply, 2 * settings.answerTimeout);
            }
            completedExchanges.incrementAndGet();
        } catch (Malformed e) {
            malformedMessages.incrementAndGet();
            Logger.debug("exchange with {}: {}", partnerName, e.getMessage());
        } catch (IOException | IllegalArgumentException e) {
            failedCalls.incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Feeds the current contents of the members and suspects tables to the failure detector. */
    private void updateMembership() {
        membersLock.runLocked(() -> {
            failureDetector.setNow(monotonicTime());
            tables.get(MEMBERS).forEachLive((owner, stored) -> {
                String[] parts = stored.entry().value().split(" ");
                if (parts.length >= 3 && parts[0].matches("[0-9]{1,18}")) {
                    failureDetector.memberAnnounced(owner.name, owner.generation, Long.parseLong(parts[0]), parts[1],
                            parts[2]);
                    failureDetector.updateReceived(owner.name, stored.writtenAt());
                }
            });
            tables.get(SUSPECTS).forEachLive((owner, stored) -> {
                String[] parts = stored.entry().value().split(" ");
                if (parts.length >= 2 && parts[0].matches("[0-9]{1,18}") && parts[1].matches("[0-9]{1,18}")) {
                    failureDetector.suspicionReceived(owner.name, stored.entry().name(), Long.parseLong(parts[0]),
                            Long.parseLong(parts[1]));
                }
            });
            for (Peer peer : failureDetector.evaluate()) {
                Logger.info("peer {} at {} is now {}", peer.name, peer.address, peer.standing());
            }
        });
    }

    /** Drains the queue of load figures into the load table, expires entries, and publishes the remote loads. */
    private void expire() {
        Map<String, Integer> newest = null;
        for (Map<String, Integer> loads = pendingLoads.poll(); loads != null; loads = pendingLoads.poll()) {
            newest = loads;
        }
        Map<String, Integer> loads = newest;
        PeerLoad sums = new PeerLoad(settings.limits.maxTtl(), settings.maxInFlight);
        withTable(LOAD, () -> {
            ReplicatedTable loadTable = tables.get(LOAD);
            if (loads != null) {
                loadTable.retainOnly(loads.keySet());
                loads.forEach((appliance, inFlight) -> loadTable.put(appliance, Integer.toString(inFlight),
                        settings.limits.maxTtl()));
            }
            loadTable.expire();
            long now = monotonicTime();
            loadTable.forEachLive((owner, stored) -> {
                if (!owner.name.equals(settings.name)) {
                    sums.reported(stored.entry().name(), parseLoad(stored), now - stored.writtenAt());
                }
            });
            return null;
        });
        remoteLoads = sums.sums();
        loadsOutOfBounds.addAndGet(sums.outOfBounds());
        membersLock.runLocked(() -> {
            long now = monotonicTime();
            for (String name : new String[] {MEMBERS, SUSPECTS}) {
                tables.get(name).setNow(now);
                tables.get(name).expire();
            }
        });
        updateMembership();
    }

    private static double parseLoad(StoredEntry stored) {
        try {
            return Double.parseDouble(stored.entry().value());
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    @Override
    public boolean handles(String path) {
        return path.startsWith("/v1/share/");
    }

    @Override
    public int maxBodyBytes() {
        return BODY_SIZE_FACTOR * settings.maxRoundBytes;
    }

    @Override
    public void handle(String method, String path, byte[] body, Reply reply) {
        Runnable task = () -> {
            try {
                reply.reply(200, handle(method, path, body));
            } catch (Refusal e) {
                reply.refuse(e);
            } catch (Malformed e) {
                malformedMessages.incrementAndGet();
                reply.refuse(new Refusal(400, "field", e.getMessage()));
            } catch (IOException | RuntimeException | Error e) {
                reply.refuse(new Refusal(500, "fault", String.valueOf(e.getMessage())));
            }
        };
        if (method.equals("POST") && path.startsWith(RELAY)) {
            // A relayed probe waits for another process, so a worker thread has to run it.
            if (!workerPool.offer(WorkKind.PROBE, path, () -> relay(path.substring(RELAY.length()), reply))) {
                rejectedRequests.incrementAndGet();
                reply.refuse(new Refusal(503, "busy", "no worker for it"));
            }
            return;
        }
        try {
            requestExecutor.execute(task);
        } catch (java.util.concurrent.RejectedExecutionException e) {
            rejectedRequests.incrementAndGet();
            reply.refuse(new Refusal(503, "busy", "too much is asked for at once"));
        }
    }

    private void relay(String target, Reply reply) {
        Message response = Message.of(settings.name);
        if (target.matches("[0-9.]{7,15}:[0-9]{1,5}") && isReachable(target, PROBE, settings.answerTimeout)) {
            response.sections().put("reached", new Message.TableSection(List.of(), List.of()));
        }
        try {
            reply.reply(200, MessageCodec.write(response));
        } catch (IOException e) {
            reply.refuse(new Refusal(500, "fault", String.valueOf(e.getMessage())));
        }
    }

    private byte[] handle(String method, String path, byte[] body) throws Refusal, IOException, Malformed {
        switch (method + " " + path) {
            case "POST " + PROBE:
                return MessageCodec.write(Message.of(settings.name));
            case "POST " + EXCHANGE:
                Message request = MessageCodec.read(body);
                newerVersionMessages.addAndGet(request.hasNewerVersion() ? 1 : 0);
                Message response = Message.of(settings.name);
                for (Map.Entry<String, Message.TableSection> section : request.sections().entrySet()) {
                    ReplicatedTable table = tables.get(section.getKey());
                    if (table != null) {
                        response.sections().put(section.getKey(), withTable(section.getKey(), () -> {
                            table.merge(section.getValue().deltas(), 0);
                            List<DigestEntry> digest = section.getValue().digest();
                            return new Message.TableSection(table.staleOwners(digest), digest.isEmpty() ? List.of()
                                    : table.deltasFor(digest, settings.maxRoundBytes));
                        }));
                    }
                }
                updateMembership();
                byte[] bytes = MessageCodec.write(response);
                responseBytes.addAndGet(bytes.length);
                return bytes;
            case "GET /v1/share/members":
                return membersJson();
            default:
                throw new Refusal(404, "other path", "nothing is here");
        }
    }

    private byte[] membersJson() {
        StringBuilder json = new StringBuilder();
        membersLock.runLocked(() -> {
            json.append("{\"name\":\"").append(settings.name).append("\",\"cutOff\":").append(failureDetector.isCutOff())
                    .append(",\"members\":{");
            boolean isFirst = true;
            for (Peer peer : failureDetector.peers()) {
                json.append(isFirst ? "" : ",").append('"').append(peer.name).append("\":\"")
                        .append(failureDetector.hasNameConflict(peer) ? "DOUBTED" : peer.standing()).append('"');
                isFirst = false;
            }
        });
        return json.append("}}").toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    @Override
    public void report(Counters counters) {
        // Runs on the event loop, which must not wait for a lock: figures that need one have an endpoint of their own.
        counters.count("exchanged", completedExchanges.get());
        counters.count("unreached", failedCalls.get());
        counters.count("spoilt", malformedMessages.get());
        counters.count("newer form", newerVersionMessages.get());
        counters.count("turned away", rejectedRequests.get());
        counters.count("box full", droppedLoads.get());
        counters.count("load out of bounds", loadsOutOfBounds.get());
        counters.count("bytes answered", responseBytes.get());
        counters.count("workers died", workerPool.deadWorkers());
        counters.count("work failed", workerPool.failedItems());
        counters.count("locks out of order", lockMonitor.orderViolations());
        counters.count("locks held long", lockMonitor.longHolds());
        counters.count("locks held over waits", lockMonitor.holdsWhileBlocking());
        counters.count("generations raised", tables.values().stream().mapToLong(
                table -> table.mergeCounts().count(MergeCounts.Outcome.OWN_NAME)).sum());
    }

    @Override
    public void close() {
        roundExecutor.shutdownNow();
        requestExecutor.shutdownNow();
        workerPool.close();
    }
}
