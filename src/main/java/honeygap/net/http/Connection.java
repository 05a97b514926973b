package honeygap.net.http;

import honeygap.net.GatheringBuffer;
import honeygap.net.Loop;
import honeygap.net.ConnectionHandler;
import honeygap.config.Malformed;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/** A client connection to an HTTP/1.1 server: sends one request at a time and parses the responses. */
public final class Connection implements ConnectionHandler {

    /** Notified of how the connection ended and whether the last request had been completely written. */
    public interface EndListener {

        void onEnd(ConnectionEnd end, boolean requestWritten);
    }

    private final Loop loop;
    private final ResponseParser parser;
    private final EndListener listener;
    private final String host;
    private final ConnectFuture connecting;
    private IoSession session;
    private ByteBuffer unsent;
    private boolean requestWritten;
    private boolean ended;

    /** Starts connecting to the address; a request sent meanwhile is written once the connection is up. */
    public Connection(Loop loop, InetSocketAddress address, ResponseParser.Handler handler, EndListener listener) {
        this.loop = loop;
        this.listener = listener;
        String ip = address.getAddress().getHostAddress();
        host = (ip.indexOf(':') < 0 ? ip : "[" + ip + "]") + ":" + address.getPort();
        parser = new ResponseParser(handler);
        connecting = loop.connect(address, this);
    }

    /** Sends a GET request for this path. */
    public void get(String path) {
        send("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n");
    }

    /** Sends a POST request to the root path with a form-encoded ASCII body. */
    public void post(String body) {
        send("POST / HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/x-www-form-urlencoded\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private void send(String request) {
        requestWritten = false;
        ByteBuffer bytes = ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII));
        if (session == null) {
            unsent = bytes;
        } else {
            session.write(new GatheringBuffer(bytes));
        }
    }

    @Override
    public void opened(IoSession session) {
        this.session = session;
        if (ended) {
            session.closeNow();
        } else if (unsent != null) {
            session.write(new GatheringBuffer(unsent));
            unsent = null;
        }
    }

    @Override
    public void unreachable() {
        end(ConnectionEnd.UNREACHABLE);
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (ended) {
            return;
        }
        try {
            parser.feed(bytes);
        } catch (Malformed e) {
            end(ConnectionEnd.UNREADABLE);
        }
    }

    @Override
    public void written() {
        requestWritten = true;
    }

    @Override
    public void closed() {
        if (ended) {
            return;
        }
        try {
            parser.close();
        } catch (Malformed e) {
            Loop.reportFault(e);
        }
        end(ConnectionEnd.CLOSED);
    }

    private void end(ConnectionEnd end) {
        if (!ended) {
            close();
            listener.onEnd(end, requestWritten);
        }
    }

    /** Closes the connection without notifying the listener. */
    public void close() {
        if (ended) {
            return;
        }
        ended = true;
        if (session != null) {
            loop.closeAbruptly(session);
        } else {
            connecting.cancel();
        }
    }
}
