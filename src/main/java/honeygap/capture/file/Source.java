package honeygap.capture.file;

import com.github.luben.zstd.ZstdInputStream;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.GZIPInputStream;
import java.util.zip.ZipException;

/**
 * The bytes of a capture file, plain, gzip or zstd as its first bytes say, read as a stream with a buffer of fixed
 * size. One that was cut off ends; it is no fault. Guards against bombs: what expands beyond measure is spoilt.
 */
final class Source implements Closeable {

    private static final int BUFFER = 1 << 16;
    /** Past so many bytes a file may not expand more than so many times. */
    private static final long TRUSTED = 256L << 20;
    private static final long EXPANSION = 300;

    final String name;
    private final InputStream in;
    private final Counted raw;
    private final boolean isPacked;
    private final boolean isZstd;
    private final byte[] buffer = new byte[BUFFER];
    private int from;
    private int to;
    /** Where the byte after the buffer's last one stands. */
    private long end;
    private boolean isCut;

    private static final class Counted extends FilterInputStream {

        private long count;
        private final Frames frames = new Frames();

        Counted(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            int one = super.read();
            count += one < 0 ? 0 : 1;
            frames.feed(new byte[] {(byte) one}, 0, one < 0 ? 0 : 1);
            return one;
        }

        @Override
        public int read(byte[] bytes, int from, int length) throws IOException {
            int many = super.read(bytes, from, length);
            count += Math.max(0, many);
            frames.feed(bytes, from, Math.max(0, many));
            return many;
        }
    }

    Source(Path file) throws IOException {
        this(file.toString(), Files.newInputStream(file));
    }

    Source(String name, InputStream bytes) throws IOException {
        this.name = name;
        BufferedInputStream first = new BufferedInputStream(bytes, BUFFER);
        first.mark(4);
        byte[] magic = first.readNBytes(4);
        first.reset();
        raw = new Counted(first);
        boolean isGzip = magic.length >= 2 && (magic[0] & 0xff) == 0x1f && (magic[1] & 0xff) == 0x8b;
        isZstd = magic.length == 4 && ByteBuffer.wrap(magic).order(ByteOrder.LITTLE_ENDIAN).getInt()
                == 0xfd2fb528;
        isPacked = isGzip || isZstd;
        try {
            in = isGzip ? new GZIPInputStream(raw, BUFFER) : isZstd ? new ZstdInputStream(raw) : raw;
        } catch (ZipException e) {
            throw new Spoilt(name, 0, "compression", "not gzip: " + e.getMessage());
        } catch (EOFException e) {
            throw new Spoilt(name, 0, "compression", "not a whole head of gzip");
        }
    }

    /** Where the next byte stands. */
    long place() {
        return end - (to - from);
    }

    /** The file broke off in the middle of what is compressed. */
    boolean isCut() {
        return isCut;
    }

    private boolean fill() throws IOException {
        int many;
        try {
            many = in.read(buffer, 0, BUFFER);
        } catch (EOFException e) {
            isCut = true;
            return false;
        } catch (ZipException e) {
            throw new Spoilt(name, end, "compression", "spoilt gzip: " + e.getMessage());
        } catch (IOException e) {
            if (isPacked && String.valueOf(e.getMessage()).contains("runcated")) {
                isCut = true;
                return false;
            }
            throw isPacked ? new Spoilt(name, end, "compression", "spoilt compression: " + e.getMessage()) : e;
        }
        if (many <= 0) {
            isCut |= isZstd && !raw.frames.isBetween();
            return false;
        }
        from = 0;
        to = many;
        end += many;
        if (isPacked && end > TRUSTED && end / EXPANSION > raw.count) {
            throw new Spoilt(name, end, "bomb", "expands more than " + EXPANSION + " times");
        }
        return true;
    }

    /** Reads so many bytes, or as many as there are left; how many. */
    int read(byte[] into, int at, int length) throws IOException {
        int done = 0;
        while (done < length) {
            if (from == to && !fill()) {
                return done;
            }
            int part = Math.min(length - done, to - from);
            System.arraycopy(buffer, from, into, at + done, part);
            from += part;
            done += part;
        }
        return done;
    }

    /** Passes so many bytes over; whether they were all there. */
    boolean skip(long length) throws IOException {
        long left = length;
        while (left > 0) {
            if (from == to && !fill()) {
                return false;
            }
            int part = (int) Math.min(left, to - from);
            from += part;
            left -= part;
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
