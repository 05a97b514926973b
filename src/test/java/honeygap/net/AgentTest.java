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

/** The agent among stand-ins: outcomes, client forms, limits, list, desk, leaving. */
class AgentTest extends Loopback {

    /** Every row of the protocol's table: what the client hears, and how many statements came through. */
    @ParameterizedTest
    @CsvSource({
        "assign,ok,ok:v1,1", "assign,bytes,ok:v1,1", "assign,okclose,ok:v1,1",
        "assign,error ok,58000,1", "read,error ok,ok:v1,2", "book,error ok,ok:v1,2",
        "assign,full ok,ok:v1,2", "assign,full,53300+,2",
        "assign,refused,53300+,0", "assign,startupfull,53300+,0", "assign,startupsilent,53300+,0",
        "assign,reset ok,58000,1", "read,reset ok,ok:v1,2", "book,reset,58000,2",
        "assign,half ok,58000,1", "assign,garbage ok,58000,1", "assign,norow ok,58000,1",
        "assign,cell ok,58000,1", "read,cell ok,ok:v1,2", "assign,huge ok,58000,1",
        "assign,column ok,58000,1",
        "assign,done ok,58000,1", "assign,fields ok,58000,1", "read,tworows ok,ok:v1,2",
        "assign,silent ok,58000,1", "read,silent,58000,1"})
    void outcomes(String method, String scripts, String answer, int statements) throws Exception {
        Fleet fleet = new Fleet(scripts);
        start(fleet);
        Caller caller = new Caller().hello();
        long asked = System.nanoTime();
        assertEquals(answer, caller.ask(method, 600));
        assertTrue(System.nanoTime() - asked < 650_000_000, "answered in time, with the protocol's slack");
        assertEquals(statements, fleet.heard.size());
        for (String heard : fleet.heard) {
            int time = Integer.parseInt(heard.replaceAll(".*,d=(\\d+),.*", "$1"));
            assertTrue(time > 0 && time <= 600, "time to wait " + time);
            assertEquals(statement(method, 600).replace(",d=600", ""), heard.replaceAll(",d=\\d+", ""));
        }
    }

    /** What clients may send, cut into pieces of a size: what they hear, answer by answer. */
    @ParameterizedTest
    @CsvSource({
        "S Q:read Q:read,1,ok:v1|ok:v1", "S Q:read,10000,ok:v1", "T S E Q:read E,3,empty|ok:v1|empty",
        "S E,1,empty", "S W:SET x = 1 W:DISCARD ALL;,5,|",
        "S W:SELECT 1 Q:read,9,42601|ok:v1", "S Q:unheard Q:read,9,42601|ok:v1",
        "S W:DROP TABLE kv /* id=1;c=read;d=9 */,50,42601", "S X Q:read,50,end",
        "S P,50,08P01end", "S L,50,08P01end", "G,50,08P01end", "C,50,end", "H,50,08P01end", "N,50,08P01end",
        "S W:SELECT content FROM kv WHERE name = 'k' /* id=1;c=read;d=x */ Q:read,50,42601|ok:v1",
        "S W:SELECT content FROM kv WHERE name = 'k' /* c=read;d=9 */ Q:read,50,42601|ok:v1"})
    void clientForms(String sends, int size, String hears) throws Exception {
        Fleet fleet = new Fleet("ok");
        start(fleet);
        Caller caller = new Caller();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (String send : sends.split(" (?=[STEXPLGCHN]\\b|[QW]:)")) {
            String words = send.substring(Math.min(2, send.length())).replace(';', ',');
            switch (send.charAt(0)) {
                case 'S' -> all.writeBytes(STARTUP);
                case 'T' -> all.writeBytes(ByteBuffer.allocate(8).putInt(8).putInt(80877103).array());
                case 'C' -> all.writeBytes(ByteBuffer.allocate(16).putInt(16).putInt(80877102).array());
                case 'E' -> all.writeBytes(query(""));
                case 'Q' -> all.writeBytes(query(statement(words, 900)));
                case 'W' -> all.writeBytes(query(words));
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
            caller.out.write(bytes, i, Math.min(size, bytes.length - i));
        }
        if (sends.startsWith("T")) {
            assertEquals('N', caller.in.read());
        }
        if (sends.contains("S ")) {
            caller.hear();
        }
        for (String wanted : hears.split("\\|", -1)) {
            assertEquals(wanted, caller.hear());
        }
        assertEquals(sends.contains("X") ? 0 : sends.split("Q:read", -1).length - 1, fleet.heard.size());
    }

    /**
     * What comes behind a good answer: the next RPC gets its own value, never what followed, and the
     * connection is used again only where that was a notice.
     */
    @ParameterizedTest
    @CsvSource({"more ok,2", "later ok,2", "noise ok,2", "notice ok,1", "ok,1"})
    void behindAnAnswer(String scripts, int connections) throws Exception {
        Fleet fleet = new Fleet(scripts);
        start(fleet);
        Caller caller = new Caller().hello();
        assertEquals("ok:v1", caller.ask("assign", 900));
        fleet.value = "v2";
        if (scripts.startsWith("later")) {
            fleet.go.await();
        }
        assertEquals("ok:v2", caller.ask("assign", 900));
        assertEquals(connections, fleet.connections.get());
    }

    /**
     * Clients that say nothing, or half of something, after their start or before it, hear an error or the
     * end within 3 s of coming; one that has asked before has longer; one that rests is closed after 2 s.
     */
    @ParameterizedTest
    @CsvSource({"0,0,0,3000", "5,0,0,3000", "1000,10,0,3000", "1000,200,0,3100", "1000,0,1,2100"})
    void stages(int startup, int query, int asks, int within) throws Exception {
        Fleet fleet = new Fleet("ok");
        start(fleet);
        Caller caller = new Caller();
        long came = System.nanoTime();
        caller.out.write(STARTUP, 0, Math.min(startup, STARTUP.length));
        if (startup > STARTUP.length) {
            caller.hear();
        }
        for (int i = 0; i < asks; i++) {
            assertEquals("ok:v1", caller.ask("read", 900));
            // It rests from its answer on: how long that took is not of the stage.
            came = System.nanoTime();
        }
        byte[] half = query(statement("read", 900));
        caller.out.write(half, 0, Math.min(query, half.length - 1));
        String heard = caller.hear();
        assertTrue(heard.endsWith("end"), heard);
        long took = (System.nanoTime() - came) / 1_000_000;
        assertTrue(took <= within && took >= 1900, "after " + took);
        assertEquals(asks, fleet.heard.size());
    }

    /** A client may not have the id of an RPC that is open elsewhere; once that is answered, it may. */
    @Test
    void openId() throws Exception {
        Fleet fleet = new Fleet("silent ok");
        start(fleet);
        Caller first = new Caller().hello();
        first.out.write(query(statement("assign", 700)));
        while (fleet.heard.isEmpty()) {
            Thread.onSpinWait();
        }
        Caller second = new Caller().hello();
        assertEquals("42601", second.ask("read", 700));
        assertEquals("58000", first.hear());
        assertEquals("ok:v1", second.ask("read", 700));
        assertEquals(2, fleet.heard.size());
    }

    /** Hundreds of commands at once are turned down, whatever they are; so is the open one among them. */
    @ParameterizedTest
    @CsvSource({"E", "Q"})
    void tooManyCommands(String kind) throws Exception {
        Fleet fleet = new Fleet("silent");
        start(fleet);
        Caller caller = new Caller().hello();
        byte[] one = kind.equals("E") ? query("") : query(statement("assign", 2000));
        byte[][] all = new byte[500][];
        Arrays.fill(all, one);
        caller.out.write(join(all));
        String heard = caller.hear();
        while (heard.equals("empty")) {
            heard = caller.hear();
        }
        assertEquals("08P01end", heard);
        assertTrue(fleet.heard.size() <= 1);
    }

    /** Clients that ask once and stay go, longest idle first, before they hold all that clients may hold. */
    @Test
    void crowdOfIdleOnes() throws Exception {
        Fleet fleet = new Fleet("ok");
        StandIn nobody = new StandIn("refused");
        start(entry("s-1", fleet, "SERVING", 1), "", nobody, nobody, 96);
        Caller first = new Caller().hello();
        assertEquals("ok:v1", first.ask("read", 900));
        long asked = System.nanoTime();
        for (int i = 0; i < 16; i++) {
            assertEquals("ok:v1", new Caller().hello().ask("read", 900));
        }
        assertEquals("end", first.hear());
        assertTrue(System.nanoTime() - asked < 1_500_000_000, "sooner than those that are merely idle");
    }

    /** Where all places are taken by clients that say nothing, each new one gets a place and is served. */
    @Test
    void silentOnesMakeRoom() throws Exception {
        Fleet fleet = new Fleet("ok");
        StandIn nobody = new StandIn("refused");
        start(entry("s-1", fleet, "SERVING", 1), "", nobody, nobody, 64 + 8);
        for (int i = 0; i < 20; i++) {
            new Caller().out.write(STARTUP, 0, i % 5);
        }
        assertEquals("ok:v1", new Caller().hello().ask("read", 900));
    }

    /** Nothing is sent for an RPC whose client left while the connection for its pick came up. */
    @Test
    void leftWhileConnecting() throws Exception {
        Fleet fleet = new Fleet("startupwaits ok");
        start(fleet);
        Caller gone = new Caller().hello();
        gone.out.write(query(statement("read", 900)));
        while (fleet.connections.get() == 0) {
            Thread.onSpinWait();
        }
        gone.close();
        Caller next = new Caller().hello();
        fleet.go.countDown();
        fleet.scripts[0] = "ok";
        assertEquals("ok:v1", next.ask("assign", 900));
        assertEquals(1, fleet.heard.size());
        assertTrue(fleet.heard.peek().contains(",c=assign,"));
    }

    /** Values of 64 KiB to a client that reads only after it has asked for all of them. */
    @ParameterizedTest
    @CsvSource({"1", "60"})
    void slowReader(int many) throws Exception {
        Fleet fleet = new Fleet("ok");
        fleet.value = "x".repeat(65536);
        start(fleet);
        Caller caller = new Caller().hello();
        for (int i = 0; i < many; i++) {
            caller.out.write(query(statement("read", 20_000)));
        }
        for (int i = 0; i < many; i++) {
            assertEquals(65536 + 3, caller.hear().length());
        }
        assertTrue(fleet.connections.get() <= 2, "connections are used again");
    }

    /**
     * More clients than descriptors: the one idle longest makes room, busy ones are answered, others pushed
     * back.
     */
    @Test
    void tooManyClients() throws Exception {
        Fleet fleet = new Fleet("silent silent ok");
        StandIn nobody = new StandIn("refused");
        start(entry("s-1", fleet, "SERVING", 1), "", nobody, nobody, 64 + 4);
        Caller idle = new Caller().hello();
        Caller first = new Caller().hello();
        first.out.write(query(statement("assign", 2000)));
        Caller second = new Caller().as("9b20").hello();
        assertEquals("end", idle.hear());
        second.out.write(query(statement(second.id, "assign", 2000)));
        while (fleet.heard.size() < 2) {
            Thread.onSpinWait();
        }
        Caller third = new Caller();
        third.out.write(STARTUP);
        assertEquals("53300end", third.hear());
        assertEquals("58000", first.hear());
        assertEquals("58000", second.hear());
        assertEquals("ok:v1", second.ask("assign", 2000));
    }

    /** The list in all its states, cut anywhere: the agent comes to know where to send, or not to. */
    @ParameterizedTest
    @CsvSource({
        "WHOLE,ok:v1", "503 WHOLE,ok:v1", "reset WHOLE,ok:v1", "silent WHOLE,ok:v1", "GARBAGE WHOLE,ok:v1",
        "BEAT-CHANGE,ok:v1", "HALF WHOLE,ok:v1", "DRAIN,53300+", "GONE,53300+", "BARE,ok:v1"})
    void list(String scripts, String answer) throws Exception {
        Fleet fleet = new Fleet("ok");
        Fleet before = new Fleet("ok");
        StandIn dead = new StandIn("refused");
        String moved = entry("s-1", fleet, "SERVING", 1);
        String whole = "{'index':42,'snapshot':true,'endpoints':[" + moved + "]}\n";
        String change = "{'index':43,'snapshot':false,'endpoints':[%s]}\n";
        StandIn list = new StandIn(scripts) {
            @Override
            byte[] answer(String script) {
                String body = switch (script) {
                    case "WHOLE", "BARE" -> whole;
                    case "HALF" -> whole.substring(0, 40);
                    case "BEAT-CHANGE" -> "\n\n" + String.format(change, moved);
                    case "DRAIN" -> String.format(change, entry("s-1", before, "DRAINING", 1));
                    case "GONE" -> String.format(change, "{'name':'s-1','status':'DELETED'}");
                    default -> "{'what':\n";
                };
                body = body.replace('\'', '"');
                if (script.equals("503")) {
                    return super.answer("HTTP/1.1_503_no~Content-Length:_0~~");
                }
                int cut = body.length() / 2;
                String chunks = Integer.toHexString(cut) + "\r\n" + body.substring(0, cut) + "\r\n"
                        + Integer.toHexString(body.length() - cut) + "\r\n" + body.substring(cut) + "\r\n";
                return script.equals("BARE") ? ("HTTP/1.1 200 OK\r\n\r\n"
                        + body).getBytes(StandardCharsets.UTF_8)
                        : ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
                        + (script.equals("HALF") ? "0\r\n\r\n" : "")).getBytes(StandardCharsets.UTF_8);
            }
        };
        boolean ends = answer.startsWith("53300");
        start(entry("s-1", ends ? before : dead, "SERVING", 1), "'RegistryMode':'ask',", list, dead, 1024);
        assertEquals(answer, askUntil(answer));
        assertTrue(list.heard.size() >= scripts.split(" ").length);
    }

    /** A configuration read again moves the list and the desk; one that can't be read whole moves nothing. */
    @ParameterizedTest
    @CsvSource({"moved,ok:v1", "half,53300+", "nodesk,53300+", "half moved,ok:v1", "moved moved,ok:v1"})
    void reread(String files, String answer) throws Exception {
        Fleet fleet = new Fleet("ok");
        StandIn nobody = new StandIn("refused");
        StandIn desk = new StandIn("silent");
        StandIn list = new StandIn("WHOLE") {
            @Override
            byte[] answer(String script) {
                return ("HTTP/1.1 200 OK\r\n\r\n{'index':42,'snapshot':true,'endpoints':["
                        + entry("s-1", fleet, "SERVING", 1) + "]}\n").replace('\'', '"')
                        .getBytes(StandardCharsets.UTF_8);
            }
        };
        start(entry("s-1", nobody, "SERVING", 1), "'RegistryMode':'ask',", nobody, nobody, 1024);
        for (String file : files.split(" ")) {
            String moved = "{'discovery':'" + list.address() + "'";
            agent.reread(List.of(() -> queries.reread(fields(moved + (file.equals("half") ? ""
                    : file.equals("nodesk") ? "}" : ",'rollouts':{'address':'" + desk.address() + "'}}")))));
        }
        assertEquals(answer, askUntil(answer));
        boolean moves = files.endsWith("moved");
        assertEquals(moves, list.connections.get() > 0);
        if (moves) {
            while (desk.heard.isEmpty()) {
                Thread.onSpinWait();
            }
        }
    }

    /** Each status of the desk's table: whether the vote is cast again, and that it says what it should. */
    @ParameterizedTest
    @CsvSource({
        "200 200,1", "200:too_many_calls:400 200,2", "200:unavailable:500 200,2", "200:out_of_date:400 200,1",
        "200:bad_request:400 200,2", "reset 200,2", "silent 200,2", "UNREADABLE 200,2", "PART 200,2"})
    void votes(String scripts, int times) throws Exception {
        Fleet fleet = new Fleet("ok");
        StandIn nobody = new StandIn("refused");
        StandIn desk = new StandIn(scripts) {
            @Override
            String head(DataInputStream in) throws IOException {
                String head = super.head(in);
                if (head.startsWith("GET")) {
                    throw new IOException("no bulletin here");
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
        start(entry("s-1", fleet, "SERVING", 1) + "," + entry("s-2", fleet, "SERVING", 2), "", nobody, desk,
                1024);
        for (int i = 0; i < times; i++) {
            assertEquals("Action=RecordOpinion&Revision=2&Wave=0&Decision=on", desk.heard.poll(5,
                    TimeUnit.SECONDS));
        }
        assertNull(desk.heard.poll(500, TimeUnit.MILLISECONDS));
    }

    /** News of a build going back stops picks to it, whether the stream came at once or after a failure. */
    @ParameterizedTest
    @CsvSource({"NEWS", "reset NEWS", "HTTP/1.1_500_x~Content-Length:_0~~ NEWS", "silent NEWS"})
    void news(String scripts) throws Exception {
        Fleet fleet = new Fleet("ok");
        StandIn nobody = new StandIn("refused");
        StandIn desk = new StandIn(scripts) {
            @Override
            byte[] answer(String script) {
                return super.answer(script.equals("NEWS") ? "HTTP/1.1_200_OK~Transfer-Encoding:_chunked~~"
                        + "3~:\n\n~"
                        + "12~event:_progress\nda~4A~ta:_Revision=2&Wave=0&State=Aborting&MaxShare=0"
                        + "&AgeMs=9\n\n:\nevent:_metrics\nda~5~ta:_x~4~x\n\n\n~" : script);
            }
        };
        start(entry("s-2", fleet, "SERVING", 2), "", nobody, desk, 1024);
        assertEquals("53300+", askUntil("53300+"));
    }

    /** Told to end, it answers what it has taken and what still comes, and ends when nothing is open. */
    @Test
    void leaving() throws Exception {
        Fleet fleet = new Fleet("silent ok");
        start(fleet);
        Caller caller = new Caller().hello();
        caller.out.write(query(statement("assign", 1200)));
        CompletableFuture<Void> left = CompletableFuture.runAsync(() -> {
            try {
                agent.leave();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        Caller late = new Caller().as("9b20").hello();
        while (fleet.heard.isEmpty()) {
            Thread.onSpinWait();
        }
        assertEquals("ok:v1", late.ask("read", 1000));
        assertEquals("58000", caller.hear());
        assertEquals("end", caller.hear());
        assertEquals("end", late.hear());
        left.get(10, TimeUnit.SECONDS);
    }
}

