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
 * Reads a capture file as a stream through a fixed-size buffer and decompresses gzip and zstd, detected by the magic
 * bytes. A truncated file is not an error: the stream ends early and {@link #isTruncated} is set. Input with an
 * excessive compression ratio (a decompression bomb) is rejected as malformed.
 */
final class CaptureInput implements Closeable {

    private static final int BUFFER_BYTES = 1 << 16;
    /** Decompressed bytes from which on the expansion is limited to {@link #MAX_EXPANSION}. */
    private static final long EXPANSION_CHECK_BYTES = 256L << 20;
    private static final long MAX_EXPANSION = 300;

    final String name;
    private final InputStream in;
    private final CountingInputStream raw;
    private final boolean isCompressed;
    private final boolean isZstd;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int position;
    private int limit;
    /** Offset in the decompressed stream of the end of the buffer. */
    private long bufferEndOffset;
    private boolean isTruncated;

    /** Counts the raw bytes and tracks zstd frame boundaries in them. */
    private static final class CountingInputStream extends FilterInputStream {

        private long count;
        private final ZstdFrameTracker frames = new ZstdFrameTracker();

        CountingInputStream(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            int value = super.read();
            count += value < 0 ? 0 : 1;
            frames.feed(new byte[] {(byte) value}, 0, value < 0 ? 0 : 1);
            return value;
        }

        @Override
        public int read(byte[] bytes, int from, int length) throws IOException {
            int bytesRead = super.read(bytes, from, length);
            count += Math.max(0, bytesRead);
            frames.feed(bytes, from, Math.max(0, bytesRead));
            return bytesRead;
        }
    }

    CaptureInput(Path file) throws IOException {
        this(file.toString(), Files.newInputStream(file));
    }

    CaptureInput(String name, InputStream bytes) throws IOException {
        this.name = name;
        BufferedInputStream first = new BufferedInputStream(bytes, BUFFER_BYTES);
        first.mark(4);
        byte[] magic = first.readNBytes(4);
        first.reset();
        raw = new CountingInputStream(first);
        boolean isGzip = magic.length >= 2 && (magic[0] & 0xff) == 0x1f && (magic[1] & 0xff) == 0x8b;
        isZstd = magic.length == 4 && ByteBuffer.wrap(magic).order(ByteOrder.LITTLE_ENDIAN).getInt()
                == 0xfd2fb528;
        isCompressed = isGzip || isZstd;
        try {
            in = isGzip ? new GZIPInputStream(raw, BUFFER_BYTES) : isZstd ? new ZstdInputStream(raw) : raw;
        } catch (ZipException e) {
            throw new MalformedCaptureException(name, 0, "compression", "not gzip: " + e.getMessage());
        } catch (EOFException e) {
            throw new MalformedCaptureException(name, 0, "compression", "incomplete gzip header");
        }
    }

    /** Offset of the next byte in the decompressed stream. */
    long offset() {
        return bufferEndOffset - (limit - position);
    }

    /** Whether the file ended in the middle of the compressed data. */
    boolean isTruncated() {
        return isTruncated;
    }

    private boolean fill() throws IOException {
        int count;
        try {
            count = in.read(buffer, 0, BUFFER_BYTES);
        } catch (EOFException e) {
            isTruncated = true;
            return false;
        } catch (ZipException e) {
            throw new MalformedCaptureException(name, bufferEndOffset, "compression", "invalid gzip data: " + e.getMessage());
        } catch (IOException e) {
            if (isCompressed && String.valueOf(e.getMessage()).contains("runcated")) {
                isTruncated = true;
                return false;
            }
            throw isCompressed ? new MalformedCaptureException(name, bufferEndOffset, "compression",
                    "invalid compressed data: " + e.getMessage()) : e;
        }
        if (count <= 0) {
            isTruncated |= isZstd && !raw.frames.isAtFrameBoundary();
            return false;
        }
        position = 0;
        limit = count;
        bufferEndOffset += count;
        if (isCompressed && bufferEndOffset > EXPANSION_CHECK_BYTES && bufferEndOffset / MAX_EXPANSION > raw.count) {
            throw new MalformedCaptureException(name, bufferEndOffset, "bomb",
                    "decompresses to more than " + MAX_EXPANSION + " times its size");
        }
        return true;
    }

    /** Reads the given number of bytes, or fewer at the end of the input; returns the number read. */
    int read(byte[] into, int at, int length) throws IOException {
        int done = 0;
        while (done < length) {
            if (position == limit && !fill()) {
                return done;
            }
            int count = Math.min(length - done, limit - position);
            System.arraycopy(buffer, position, into, at + done, count);
            position += count;
            done += count;
        }
        return done;
    }

    /** Skips the given number of bytes; false if the input ended before. */
    boolean skip(long length) throws IOException {
        long remaining = length;
        while (remaining > 0) {
            if (position == limit && !fill()) {
                return false;
            }
            int count = (int) Math.min(remaining, limit - position);
            position += count;
            remaining -= count;
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
