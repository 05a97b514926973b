package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the agent against fake peers: outcomes, client messages, limits, discovery, the release desk and shutdown. */
class AgentTest extends Loopback {

    /** Each outcome of a pick: the client's answer and the number of statements that reached the appliance. */
    @ParameterizedTest
    @CsvSource({
        "assign,ok,ok:v1,1", "assign,bytes,ok:v1,1", "assign,okclose,ok:v1,1",
        "assign,error ok,58000,1", "read,error ok,ok:v1,2", "book,error ok,ok:v1,2",
        "assign,full ok,ok:v1,2", "assign,full,53300+,2",
        "assign,refused,53300+,0", "assign,startupfull,53300+,0", "assign,startupsilent,53300+,0",
        "assign,reset ok,58000,1", "read,reset ok,ok:v1,2", "book,reset,58000,2",
        "assign,half ok,58000,1", "assign,garbage ok,58000,1", "assign,norow ok,58000,1",
        "assign,badcell ok,58000,1", "read,badcell ok,ok:v1,2", "assign,huge ok,58000,1",
        "assign,badcolumn ok,58000,1",
        "assign,nocomplete ok,58000,1", "assign,badfields ok,58000,1", "read,tworows ok,ok:v1,2",
        "assign,silent ok,58000,1", "read,silent,58000,1"})
    void outcomes(String method, String scripts, String answer, int statements) throws Exception {
        FakeAppliance appliance = new FakeAppliance(scripts);
        start(appliance);
        TestClient client = new TestClient().handshake();
        long start = System.nanoTime();
        assertEquals(answer, client.call(method, 600));
        assertTrue(System.nanoTime() - start < 650_000_000, "answered within the deadline and its tolerance");
        assertEquals(statements, appliance.received.size());
        for (String statement : appliance.received) {
            int time = Integer.parseInt(statement.replaceAll(".*,d=(\\d+),.*", "$1"));
            assertTrue(time > 0 && time <= 600, "time sent to the appliance: " + time);
            assertEquals(statement(method, 600).replace(",d=600", ""), statement.replaceAll(",d=\\d+", ""));
        }
    }

    /** Client input, valid and malformed, split into chunks of a given size: each answer is as expected. */
    @ParameterizedTest
    @CsvSource({
        "S Q:read Q:read,1,ok:v1|ok:v1", "S Q:read,10000,ok:v1", "T S E Q:read E,3,empty|ok:v1|empty",
        "S E,1,empty", "S W:SET x = 1 W:DISCARD ALL;,5,|",
        "S W:SELECT 1 Q:read,9,42601|ok:v1", "S Q:unknown Q:read,9,42601|ok:v1",
        "S W:DROP TABLE kv /* id=1;c=read;d=9 */,50,42601", "S X Q:read,50,end",
        "S P,50,08P01end", "S L,50,08P01end", "G,50,08P01end", "C,50,end", "H,50,08P01end", "N,50,08P01end",
        "S W:SELECT content FROM kv WHERE name = 'k' /* id=1;c=read;d=x */ Q:read,50,42601|ok:v1",
        "S W:SELECT content FROM kv WHERE name = 'k' /* c=read;d=9 */ Q:read,50,42601|ok:v1"})
    void clientMessages(String sent, int size, String answers) throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        start(appliance);
        TestClient client = new TestClient();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (String part : sent.split(" (?=[STEXPLGCHN]\\b|[QW]:)")) {
            String text = part.substring(Math.min(2, part.length())).replace(';', ',');
            switch (part.charAt(0)) {
                case 'S' -> all.writeBytes(STARTUP);
                case 'T' -> all.writeBytes(ByteBuffer.allocate(8).putInt(8).putInt(80877103).array());
                case 'C' -> all.writeBytes(ByteBuffer.allocate(16).putInt(16).putInt(80877102).array());
                case 'E' -> all.writeBytes(query(""));
                case 'Q' -> all.writeBytes(query(statement(text, 900)));
                case 'W' -> all.writeBytes(query(text));
                case 'X' -> all.writeBytes(message('X', ""));
                case 'P' -> all.writeBytes(message('P', "parse"));
                case 'L' -> all.writeBytes(ByteBuffer.allocate(5).put((byte) 'Q').putInt(1 << 30).array());
                case 'H' -> all.writeBytes(ByteBuffer.allocate(8).putInt(60_000_000).putInt(196608).array());
                case 'N' -> all.writeBytes(ByteBuffer.allocate(8).putInt(-4).putInt(196608).array());
                default -> all.writeBytes(startup(1234));
            }
        }
        byte[] bytes = all.toByteArray();
        for (int i = 0; i < bytes.length; i += size) {
            client.out.write(bytes, i, Math.min(size, bytes.length - i));
        }
        if (sent.startsWith("T")) {
            assertEquals('N', client.in.read());
        }
        if (sent.contains("S ")) {
            client.readAnswer();
        }
        for (String answer : answers.split("\\|", -1)) {
            assertEquals(answer, client.readAnswer());
        }
        assertEquals(sent.contains("X") ? 0 : sent.split("Q:read", -1).length - 1, appliance.received.size());
    }

    /**
     * Input after a good answer: the next RPC gets its own value, never the extra input, and the connection is reused
     * only if the input was a notice.
     */
    @ParameterizedTest
    @CsvSource({"more ok,2", "morelater ok,2", "noise ok,2", "notice ok,1", "ok,1"})
    void inputAfterAnswer(String scripts, int connections) throws Exception {
        FakeAppliance appliance = new FakeAppliance(scripts);
        start(appliance);
        TestClient client = new TestClient().handshake();
        assertEquals("ok:v1", client.call("assign", 900));
        appliance.value = "v2";
        if (scripts.startsWith("morelater")) {
            appliance.released.await();
        }
        assertEquals("ok:v2", client.call("assign", 900));
        assertEquals(connections, appliance.connections.get());
    }

    /**
     * Silent clients, and clients that stop within a message, get an error or are closed within 3 s; one that has
     * sent an RPC before has longer; an idle one is closed after 2 s.
     */
    @ParameterizedTest
    @CsvSource({"0,0,0,3000", "5,0,0,3000", "1000,10,0,3000", "1000,200,0,3100", "1000,0,1,2100"})
    void idleClientTimeouts(int startupBytes, int queryBytes, int calls, int withinMs) throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        start(appliance);
        TestClient client = new TestClient();
        long since = System.nanoTime();
        client.out.write(STARTUP, 0, Math.min(startupBytes, STARTUP.length));
        if (startupBytes > STARTUP.length) {
            client.readAnswer();
        }
        for (int i = 0; i < calls; i++) {
            assertEquals("ok:v1", client.call("read", 900));
            // The idle time begins with the answer, however long that took.
            since = System.nanoTime();
        }
        byte[] request = query(statement("read", 900));
        client.out.write(request, 0, Math.min(queryBytes, request.length - 1));
        String answer = client.readAnswer();
        assertTrue(answer.endsWith("end"), answer);
        long tookMs = (System.nanoTime() - since) / 1_000_000;
        assertTrue(tookMs <= withinMs && tookMs >= 1900, "closed after ms: " + tookMs);
        assertEquals(calls, appliance.received.size());
    }

    /** A client may not use the id of an RPC that is open elsewhere, but may once that one is answered. */
    @Test
    void duplicateRpcId() throws Exception {
        FakeAppliance appliance = new FakeAppliance("silent ok");
        start(appliance);
        TestClient first = new TestClient().handshake();
        first.out.write(query(statement("assign", 700)));
        while (appliance.received.isEmpty()) {
            Thread.onSpinWait();
        }
        TestClient second = new TestClient().handshake();
        assertEquals("42601", second.call("read", 700));
        assertEquals("58000", first.readAnswer());
        assertEquals("ok:v1", second.call("read", 700));
        assertEquals(2, appliance.received.size());
    }

    /** Hundreds of pipelined commands of any kind are rejected, including the one being processed. */
    @ParameterizedTest
    @CsvSource({"E", "Q"})
    void tooManyCommands(String kind) throws Exception {
        FakeAppliance appliance = new FakeAppliance("silent");
        start(appliance);
        TestClient client = new TestClient().handshake();
        byte[] one = kind.equals("E") ? query("") : query(statement("assign", 2000));
        byte[][] all = new byte[500][];
        Arrays.fill(all, one);
        client.out.write(join(all));
        String answer = client.readAnswer();
        while (answer.equals("empty")) {
            answer = client.readAnswer();
        }
        assertEquals("08P01end", answer);
        assertTrue(appliance.received.size() <= 1);
    }

    /**
     * Clients that send one request and keep the connection are closed, the longest idle first, before all client
     * descriptors are in use.
     */
    @Test
    void idleClientsAreClosed() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeServer refusing = new FakeServer("refused");
        start(entry("s-1", appliance, "SERVING", 1), "", refusing, refusing, 96);
        TestClient first = new TestClient().handshake();
        assertEquals("ok:v1", first.call("read", 900));
        long start = System.nanoTime();
        for (int i = 0; i < 16; i++) {
            assertEquals("ok:v1", new TestClient().handshake().call("read", 900));
        }
        assertEquals("end", first.readAnswer());
        assertTrue(System.nanoTime() - start < 1_500_000_000, "closed before the idle timeout");
    }

    /** With all connections taken by silent clients, each new client still gets a connection and is served. */
    @Test
    void silentClientsAreClosed() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeServer refusing = new FakeServer("refused");
        start(entry("s-1", appliance, "SERVING", 1), "", refusing, refusing, 64 + 8);
        for (int i = 0; i < 20; i++) {
            new TestClient().out.write(STARTUP, 0, i % 5);
        }
        assertEquals("ok:v1", new TestClient().handshake().call("read", 900));
    }

    /** No statement is sent for an RPC whose client left while the connection for its pick was being established. */
    @Test
    void clientLeavesWhileConnecting() throws Exception {
        FakeAppliance appliance = new FakeAppliance("startupwaits ok");
        start(appliance);
        TestClient leaving = new TestClient().handshake();
        leaving.out.write(query(statement("read", 900)));
        while (appliance.connections.get() == 0) {
            Thread.onSpinWait();
        }
        leaving.close();
        TestClient next = new TestClient().handshake();
        appliance.released.countDown();
        appliance.scripts[0] = "ok";
        assertEquals("ok:v1", next.call("assign", 900));
        assertEquals(1, appliance.received.size());
        assertTrue(appliance.received.peek().contains(",c=assign,"));
    }

    /** Values of 64 KiB for a client that reads only after it has sent all requests. */
    @ParameterizedTest
    @CsvSource({"1", "60"})
    void slowReader(int count) throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        appliance.value = "x".repeat(65536);
        start(appliance);
        TestClient client = new TestClient().handshake();
        for (int i = 0; i < count; i++) {
            client.out.write(query(statement("read", 20_000)));
        }
        for (int i = 0; i < count; i++) {
            assertEquals(65536 + 3, client.readAnswer().length());
        }
        assertTrue(appliance.connections.get() <= 2, "connections are reused");
    }

    /** More clients than descriptors: the longest idle one is closed, busy ones are answered, others pushed back. */
    @Test
    void tooManyClients() throws Exception {
        FakeAppliance appliance = new FakeAppliance("silent silent ok");
        FakeServer refusing = new FakeServer("refused");
        start(entry("s-1", appliance, "SERVING", 1), "", refusing, refusing, 64 + 4);
        TestClient idle = new TestClient().handshake();
        TestClient first = new TestClient().handshake();
        first.out.write(query(statement("assign", 2000)));
        TestClient second = new TestClient().withId("9b20").handshake();
        assertEquals("end", idle.readAnswer());
        second.out.write(query(statement(second.id, "assign", 2000)));
        while (appliance.received.size() < 2) {
            Thread.onSpinWait();
        }
        TestClient third = new TestClient();
        third.out.write(STARTUP);
        assertEquals("53300end", third.readAnswer());
        assertEquals("58000", first.readAnswer());
        assertEquals("58000", second.readAnswer());
        assertEquals("ok:v1", second.call("assign", 2000));
    }

    /** The list in all its states, split at any point: the agent learns where to send RPCs and where not to. */
    @ParameterizedTest
    @CsvSource({
        "SNAPSHOT,ok:v1", "503 SNAPSHOT,ok:v1", "reset SNAPSHOT,ok:v1", "silent SNAPSHOT,ok:v1", "GARBAGE SNAPSHOT,ok:v1",
        "HEARTBEAT-CHANGE,ok:v1", "HALF SNAPSHOT,ok:v1", "DRAIN,53300+", "DELETED,53300+", "UNCHUNKED,ok:v1"})
    void list(String scripts, String answer) throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeAppliance previous = new FakeAppliance("ok");
        FakeServer dead = new FakeServer("refused");
        String entry = entry("s-1", appliance, "SERVING", 1);
        String snapshot = "{'index':42,'snapshot':true,'endpoints':[" + entry + "]}\n";
        String change = "{'index':43,'snapshot':false,'endpoints':[%s]}\n";
        FakeServer list = new FakeServer(scripts) {
            @Override
            byte[] answer(String script) {
                String body = switch (script) {
                    case "SNAPSHOT", "UNCHUNKED" -> snapshot;
                    case "HALF" -> snapshot.substring(0, 40);
                    case "HEARTBEAT-CHANGE" -> "\n\n" + String.format(change, entry);
                    case "DRAIN" -> String.format(change, entry("s-1", previous, "DRAINING", 1));
                    case "DELETED" -> String.format(change, "{'name':'s-1','status':'DELETED'}");
                    default -> "{'what':\n";
                };
                body = body.replace('\'', '"');
                if (script.equals("503")) {
                    return super.answer("HTTP/1.1_503_no~Content-Length:_0~~");
                }
                int cut = body.length() / 2;
                String chunks = Integer.toHexString(cut) + "\r\n" + body.substring(0, cut) + "\r\n"
                        + Integer.toHexString(body.length() - cut) + "\r\n" + body.substring(cut) + "\r\n";
                return script.equals("UNCHUNKED") ? ("HTTP/1.1 200 OK\r\n\r\n"
                        + body).getBytes(StandardCharsets.UTF_8)
                        : ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
                        + (script.equals("HALF") ? "0\r\n\r\n" : "")).getBytes(StandardCharsets.UTF_8);
            }
        };
        boolean isRemoved = answer.startsWith("53300");
        start(entry("s-1", isRemoved ? previous : dead, "SERVING", 1), "'RegistryMode':'ask',", list, dead, 1024);
        assertEquals(answer, callUntil(answer));
        assertTrue(list.received.size() >= scripts.split(" ").length);
    }

    /** A reload changes the addresses of discovery and the desk; a malformed configuration changes nothing. */
    @ParameterizedTest
    @CsvSource({"moved,ok:v1", "half,53300+", "nodesk,53300+", "half moved,ok:v1", "moved moved,ok:v1"})
    void reload(String files, String answer) throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeServer refusing = new FakeServer("refused");
        FakeServer desk = new FakeServer("silent");
        FakeServer list = new FakeServer("SNAPSHOT") {
            @Override
            byte[] answer(String script) {
                return ("HTTP/1.1 200 OK\r\n\r\n{'index':42,'snapshot':true,'endpoints':["
                        + entry("s-1", appliance, "SERVING", 1) + "]}\n").replace('\'', '"')
                        .getBytes(StandardCharsets.UTF_8);
            }
        };
        start(entry("s-1", refusing, "SERVING", 1), "'RegistryMode':'ask',", refusing, refusing, 1024);
        for (String file : files.split(" ")) {
            String config = "{'discovery':'" + list.address() + "'";
            agent.reload(List.of(() -> queries.reload(fields(config + (file.equals("half") ? ""
                    : file.equals("nodesk") ? "}" : ",'rollouts':{'address':'" + desk.address() + "'}}")))));
        }
        assertEquals(answer, callUntil(answer));
        boolean isMoved = files.endsWith("moved");
        assertEquals(isMoved, list.connections.get() > 0);
        if (isMoved) {
            while (desk.received.isEmpty()) {
                Thread.onSpinWait();
            }
        }
    }

    /** Each response status of the desk: whether the vote is sent again, and what the vote contains. */
    @ParameterizedTest
    @CsvSource({
        "200 200,1", "200:too_many_calls:400 200,2", "200:unavailable:500 200,2", "200:out_of_date:400 200,1",
        "200:bad_request:400 200,2", "reset 200,2", "silent 200,2", "UNREADABLE 200,2", "PART 200,2"})
    void votes(String scripts, int times) throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeServer refusing = new FakeServer("refused");
        FakeServer desk = new FakeServer(scripts) {
            @Override
            String readRequest(DataInputStream in) throws IOException {
                String head = super.readRequest(in);
                if (head.startsWith("GET")) {
                    throw new IOException("no status stream in this test");
                }
                return head;
            }

            @Override
            byte[] answer(String script) {
                String[] parts = script.split(":");
                String body = parts.length > 1 ? "<Error><Code>" + parts[1] + "</Code></Error>"
                        : script.equals("UNREADABLE") ? "<what/>" : script.equals("PART")
                        ? "<item><Revision>2</Revision><Wave>1</Wave><State>Aborting</State>"
                        + "<MaxShare>0</MaxShare><AgeMs>9</AgeMs></item>"
                        : "<?xml version=\"1.0\"?>\n<Response><entries>"
                        + "<item><Revision>2</Revision><Wave>0</Wave><State>Progressing</State>"
                        + "<MaxShare>0.28</MaxShare><AgeMs>100000</AgeMs></item></entries></Response>";
                return ("HTTP/1.1 " + (parts.length > 1 ? parts[2] : "200") + " x\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8);
            }
        };
        start(entry("s-1", appliance, "SERVING", 1) + "," + entry("s-2", appliance, "SERVING", 2), "", refusing, desk,
                1024);
        for (int i = 0; i < times; i++) {
            assertEquals("Action=RecordOpinion&Revision=2&Wave=0&Decision=on", desk.received.poll(5,
                    TimeUnit.SECONDS));
        }
        assertNull(desk.received.poll(500, TimeUnit.MILLISECONDS));
    }

    /** A rolled-back build gets no picks, whether the status stream connects at once or after a failure. */
    @ParameterizedTest
    @CsvSource({"STATUS", "reset STATUS", "HTTP/1.1_500_x~Content-Length:_0~~ STATUS", "silent STATUS"})
    void rolloutStatus(String scripts) throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeServer refusing = new FakeServer("refused");
        FakeServer desk = new FakeServer(scripts) {
            @Override
            byte[] answer(String script) {
                return super.answer(script.equals("STATUS") ? "HTTP/1.1_200_OK~Transfer-Encoding:_chunked~~"
                        + "3~:\n\n~"
                        + "12~event:_progress\nda~4A~ta:_Revision=2&Wave=0&State=Aborting&MaxShare=0"
                        + "&AgeMs=9\n\n:\nevent:_metrics\nda~5~ta:_x~4~x\n\n\n~" : script);
            }
        };
        start(entry("s-2", appliance, "SERVING", 2), "", refusing, desk, 1024);
        assertEquals("53300+", callUntil("53300+"));
    }

    /** During a shutdown the agent answers open and new RPCs and ends when no connection is open. */
    @Test
    void gracefulShutdown() throws Exception {
        FakeAppliance appliance = new FakeAppliance("silent ok");
        start(appliance);
        TestClient client = new TestClient().handshake();
        client.out.write(query(statement("assign", 1200)));
        CompletableFuture<Void> shutdown = CompletableFuture.runAsync(() -> {
            try {
                agent.shutDownGracefully();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        TestClient late = new TestClient().withId("9b20").handshake();
        while (appliance.received.isEmpty()) {
            Thread.onSpinWait();
        }
        assertEquals("ok:v1", late.call("read", 1000));
        assertEquals("58000", client.readAnswer());
        assertEquals("end", client.readAnswer());
        assertEquals("end", late.readAnswer());
        shutdown.get(10, TimeUnit.SECONDS);
    }
}

