package honeygap.bench;

import honeygap.capture.MergedCaptureReader;
import honeygap.capture.file.CaptureReader;
import honeygap.capture.file.Packet;
import honeygap.capture.packet.Decoder;
import honeygap.capture.packet.Segment;
import honeygap.capture.stream.Reassembly;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Throughput of reading, reassembling and decoding a capture, compared with reading the plain file and copying memory.
 */
public final class CaptureSpeed {

    private CaptureSpeed() {
    }

    private interface Task {
        long run() throws IOException;
    }

    private static void time(String name, long size, Task work) throws IOException {
        long best = Long.MAX_VALUE;
        long result = 0;
        for (int i = 0; i < 3; i++) {
            long since = System.nanoTime();
            result = work.run();
            best = Math.min(best, System.nanoTime() - since);
        }
        Runtime runtime = Runtime.getRuntime();
        System.out.printf("%-24s %7.0f MB/s  (%d; heap used %d MB)%n", name, size / 1e6 / (best / 1e9), result,
                runtime.totalMemory() - runtime.freeMemory() >> 20);
    }

    public static void main(String[] args) throws IOException {
        Path file = Path.of(args[0]);
        long size = Files.size(file);
        System.out.println(file.getFileName() + ", " + size / 1_000_000 + " MB, best of 3");
        byte[] from = new byte[64 << 20];
        byte[] to = new byte[64 << 20];
        time("copy of memory", from.length, () -> {
            System.arraycopy(from, 0, to, 0, from.length);
            return to.length;
        });
        time("bytes of the file", size, () -> {
            byte[] buffer = new byte[1 << 16];
            long sum = 0;
            try (InputStream in = Files.newInputStream(file)) {
                for (int many = in.read(buffer); many > 0; many = in.read(buffer)) {
                    sum += many;
                }
            }
            return sum;
        });
        time("packets", size, () -> {
            Packet packet = new Packet();
            try (CaptureReader reader = new CaptureReader(file)) {
                while (reader.next(packet)) {
                    continue;
                }
                return reader.packets();
            }
        });
        time("streams", size, () -> {
            long[] bytes = {0};
            Reassembly.Listener out = new Reassembly.Listener() {
                @Override
                public void opened(Reassembly.Flow flow, long at) {
                }

                @Override
                public void data(Reassembly.Flow flow, boolean isClient, byte[] data, long at) {
                    bytes[0] += data.length;
                }

                @Override
                public void hole(Reassembly.Flow flow, boolean isClient, long length, long at) {
                }

                @Override
                public void closed(Reassembly.Flow flow, Reassembly.End how, long at) {
                }
            };
            Packet packet = new Packet();
            Segment segment = new Segment();
            Decoder decoder = new Decoder();
            Reassembly reassembly = new Reassembly();
            try (CaptureReader reader = new CaptureReader(file)) {
                while (reader.next(packet)) {
                    if (decoder.decode(packet, segment)) {
                        reassembly.addSegment(segment);
                        while (reassembly.deliverNext(out)) {
                            continue;
                        }
                    }
                }
            }
            return bytes[0];
        });
        time("RPCs", size, () -> {
            long[] rpcs = {0};
            try (MergedCaptureReader reading = new MergedCaptureReader(List.of(file))) {
                reading.conversations(rpc -> rpcs[0]++, packet -> { });
            }
            return rpcs[0];
        });
    }
}
