package honeygap.capture.redact;

import honeygap.capture.file.PacketSynthesizer;
import honeygap.capture.stream.Reassembly;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Rewrites a capture: synthesizes its packets anew from the streams, with keys and values masked. */
public final class CaptureRedactor implements Reassembly.Listener {

    private final DataMasker masker;
    private final PacketSynthesizer synthesizer;

    /** The redactors of a connection's two directions. */
    private record ConnectionRedactors(StreamRedactor client, StreamRedactor server) { }

    public CaptureRedactor(DataMasker masker, PacketSynthesizer.Sink sink) {
        this.masker = masker;
        synthesizer = new PacketSynthesizer(sink);
    }

    private interface IoAction {

        void run() throws IOException;
    }

    private static void runUnchecked(IoAction action) {
        try {
            action.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void opened(Reassembly.Flow flow, long timestampNs) {
        flow.attachment = new ConnectionRedactors(new StreamRedactor(masker, true, flow.isFromStart),
                new StreamRedactor(masker, false, flow.isFromStart));
        runUnchecked(() -> synthesizer.opened(flow.number, flow.client, flow.server, flow.isFromStart, timestampNs));
    }

    private static StreamRedactor redactorFor(Reassembly.Flow flow, boolean isClient) {
        ConnectionRedactors redactors = (ConnectionRedactors) flow.attachment;
        return isClient ? redactors.client : redactors.server;
    }

    private void write(Reassembly.Flow flow, boolean isClient, byte[] bytes, long timestampNs) {
        runUnchecked(() -> synthesizer.data(flow.number, isClient, bytes, 0, bytes.length, timestampNs));
    }

    @Override
    public void data(Reassembly.Flow flow, boolean isClient, byte[] bytes, long timestampNs) {
        write(flow, isClient, redactorFor(flow, isClient).redact(bytes), timestampNs);
    }

    @Override
    public void hole(Reassembly.Flow flow, boolean isClient, long length, long timestampNs) {
        write(flow, isClient, redactorFor(flow, isClient).blankRemaining(), timestampNs);
        synthesizer.skipBytes(flow.number, isClient, length);
    }

    @Override
    public void closed(Reassembly.Flow flow, Reassembly.End end, long timestampNs) {
        write(flow, true, redactorFor(flow, true).blankRemaining(), timestampNs);
        write(flow, false, redactorFor(flow, false).blankRemaining(), timestampNs);
        runUnchecked(() -> synthesizer.closed(flow.number, true, end == Reassembly.End.RESET, timestampNs));
    }
}
