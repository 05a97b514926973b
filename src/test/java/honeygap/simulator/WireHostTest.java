package honeygap.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WireHostTest {

    private static final String BOOT = "{'cmd':'Boot','Who':3,'InitSeed':18446744073709551615,"
            + "'BootInfo':{'Classes':[{'AimNs':1000000000,'Effect':'read_like','GiveUpNs':3000000000}],"
            + "'TickNs':5000000,'Ceilings':{'MaxAttempts':2},'News':[1,{'x':null}]}}";
    private static final String LIST = "{'cmd':'Table','Sheet':0,'MembersList':[{'Edition':41,"
            + "'LastStartNs':null,'Appliance':4294967295,'Availability':'up'}]},"
            + "{'cmd':'Fleet','Who':3,'Mode':'disk','Version':1,'Sheet':0}";
    private static final String RPC = "{'cmd':'NewRequest','Who':3,'Xid':'r','Category':0,'NameKey':null,"
            + "'TimeBudgetNs':240000001}";

    /** Batches, separated by '|', and the reply to the last one. */
    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "; []",
        "BOOT,LIST; []",
        "BOOT,LIST|RPC; [{'cmd':'PassOn','Who':3,'Xid':'r','Appliance':4294967295,'WithinNs':240000000}]",
        "BOOT,LIST|{'cmd':'Strange','x':[]},{'cmd':'Left','Who':3,'Xid':'never'}; []",
        "BOOT,LIST|{'cmd':'CrashNow','Who':3},BOOT,LIST,RPC; "
            + "[{'cmd':'PassOn','Who':3,'Xid':'r','Appliance':4294967295,'WithinNs':240000000}]",
        "BOOT,LIST|RPC|{'cmd':'Completed','Who':3,'Xid':'r','Go':0,'Appliance':4294967295,'Reason':0,"
            + "'LagNs':1,'NoMore':true,'Pressure':null},{'cmd':'Left','Who':3,'Xid':'r'}; []"})
    void replyOfLastBatch(String batches, String expectedSteps) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(0, host(batches == null ? "" : batches, out, err));
        String[] lines = out.toString(StandardCharsets.UTF_8).split("\n");
        assertEquals(("{'steps':" + expectedSteps + "}").replace('\'', '"'), lines[lines.length - 1]);
        assertEquals("", err.toString(StandardCharsets.UTF_8));
    }

    /** A malformed line ends the host with status 1 and one line on standard error that names the line number. */
    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "BOOT|{'cmd':'Left','Who':4,'Xid':'r'}; line 2: instance 4 is not running",
        "BOOT|{'cmd':'Fleet','Who':3,'Mode':'diff','Sheet':9}; line 2: list 9 was not sent",
        "BOOT|{'cmd':'NewRequest','Who':3,'Xid':'r','Category':0}; line 2: field msgs[0].TimeBudgetNs is missing",
        "BOOT|{'cmd':'NewRequest','Who':3,'Xid':'r','Category':7,'TimeBudgetNs':1}; line 2: unknown Cat",
        "BOOT|{'cmd':'Left','Who':'3','Xid':'r'}; line 2: field msgs[0].Who is not a whole number",
        "{'cmd':'Boot','Who':3,'InitSeed':1,'BootInfo':{'TickNs':1}}; line 1: field msgs[0].BootInfo.Classes is missing",
        "{'Who':1}; line 1: field msgs[0].cmd is missing", "{; line 1: not JSON", "7; line 1: field msgs holds"})
    void faultIsReportedWithLineNumber(String batches, String expectedFault) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(1, host(batches, out, err));
        String message = err.toString(StandardCharsets.UTF_8);
        assertTrue(message.startsWith("wirehost: " + expectedFault), message);
        assertEquals(1, message.lines().count());
    }

    private static int host(String batches, ByteArrayOutputStream out, ByteArrayOutputStream err)
            throws IOException {
        StringBuilder in = new StringBuilder();
        long time = 1_000_000_000L;
        for (String batch : batches.split("\\|")) {
            String events = batch.replace("BOOT", BOOT).replace("LIST", LIST).replace("RPC", RPC);
            time += 10_000_000L;
            in.append("{'TimeNs':").append(time).append(",'msgs':[").append(events).append("]}\n");
        }
        byte[] bytes = in.toString().replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        return new WireHost(new ByteArrayInputStream(bytes),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8)).run();
    }
}
