package honeygap.capture.redact;

import honeygap.capture.file.Synthesis;
import honeygap.capture.stream.Reassembly;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Makes the packets of a capture anew, with keys and values hidden. */
public final class Anonymous implements Reassembly.Out {

    private final Mask mask;
    private final Synthesis synthesis;

    /** The two sides of a connection. */
    private record Sides(Redactor client, Redactor server) { }

    public Anonymous(Mask mask, Synthesis.Sink sink) {
        this.mask = mask;
        synthesis = new Synthesis(sink);
    }

    private interface Step {

        void go() throws IOException;
    }

    private static void go(Step step) {
        try {
            step.go();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void opened(Reassembly.Flow flow, long at) {
        flow.subject = new Sides(new Redactor(mask, true, flow.isWhole), new Redactor(mask, false, flow.isWhole));
        go(() -> synthesis.opened(flow.number, flow.client, flow.server, flow.isWhole, at));
    }

    private static Redactor side(Reassembly.Flow flow, boolean isClient) {
        Sides sides = (Sides) flow.subject;
        return isClient ? sides.client : sides.server;
    }

    private void write(Reassembly.Flow flow, boolean isClient, byte[] bytes, long at) {
        go(() -> synthesis.data(flow.number, isClient, bytes, 0, bytes.length, at));
    }

    @Override
    public void data(Reassembly.Flow flow, boolean isClient, byte[] bytes, long at) {
        write(flow, isClient, side(flow, isClient).take(bytes), at);
    }

    @Override
    public void hole(Reassembly.Flow flow, boolean isClient, long length, long at) {
        write(flow, isClient, side(flow, isClient).lose(), at);
        synthesis.hole(flow.number, isClient, length);
    }

    @Override
    public void closed(Reassembly.Flow flow, Reassembly.End how, long at) {
        write(flow, true, side(flow, true).lose(), at);
        write(flow, false, side(flow, false).lose(), at);
        go(() -> synthesis.closed(flow.number, true, how == Reassembly.End.RESET, at));
    }
}
