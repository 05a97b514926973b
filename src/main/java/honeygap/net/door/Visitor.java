package honeygap.net.door;

import honeygap.net.guests.Guest;
import honeygap.net.http.Refusal;
import honeygap.net.http.Requests;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.tinylog.Logger;

/** Whoever comes through the door: requests one after another, each answered at once. */
final class Visitor extends Guest {

    private final Door door;
    private final Requests requests;
    private boolean hasAsked;
    /** Answered beside the loop: the next one is not read before. */
    private boolean isAwaited;

    Visitor(Door door) {
        super(door.guests);
        this.door = door;
        requests = new Requests(door.longest());
    }

    @Override
    protected boolean isStarted() {
        return hasAsked;
    }

    @Override
    protected boolean isAsking() {
        return isAwaited;
    }

    @Override
    protected int waiting() {
        return requests.waiting();
    }

    @Override
    protected int longest() {
        return requests.longest();
    }

    @Override
    protected void keep(ByteBuffer bytes) {
        requests.feed(bytes);
    }

    @Override
    protected void leave() {
    }

    @Override
    protected ByteBuffer tooLongWord() {
        return whole(408, "{\"error\":\"nothing whole has come in time\"}".getBytes(StandardCharsets.US_ASCII), false);
    }

    @Override
    protected ByteBuffer tooManyWord() {
        return whole(503, "{\"error\":\"too many connections\"}".getBytes(StandardCharsets.US_ASCII), false);
    }

    @Override
    protected ByteBuffer shutdownWord() {
        return whole(503, "{\"error\":\"shutting down\"}".getBytes(StandardCharsets.US_ASCII), false);
    }

    @Override
    protected void giveUp() {
        isAwaited = false;
        end(shutdownWord());
    }

    @Override
    protected void read() {
        try {
            if (canRead() && requests.next()) {
                hasAsked = true;
                hasAsked();
                if (door.guests.isFull()) {
                    end(tooManyWord());
                } else {
                    request();
                }
            }
        } catch (Refusal e) {
            end(whole(e.status, error(e), false));
        }
    }

    private byte[] error(Refusal e) {
        try {
            return door.error(e.getMessage());
        } catch (IOException again) {
            return new byte[0];
        }
    }

    private void request() {
        int status = 200;
        byte[] body;
        try {
            if (!door.isAllowed(requests.field("authorization"))) {
                throw new Refusal(401, "token", "a token is wanted, and not this one");
            }
            Aside aside = door.aside(requests.target());
            if (aside != null) {
                beside(aside);
                return;
            }
            body = door.answer(requests.method(), requests.target(), requests.body());
        } catch (Refusal e) {
            status = e.status;
            body = error(e);
        } catch (IOException e) {
            // The ledger can't be written: nothing was carried out.
            Logger.warn("the ledger can't be kept: {}", e.getMessage());
            status = 500;
            body = "{\"error\":\"the ledger can't be kept\"}".getBytes(StandardCharsets.US_ASCII);
        }
        answered(status, body, requests.isKept());
    }

    private void answered(int status, byte[] body, boolean stays) {
        write(whole(status, body, stays));
        if (!stays) {
            close();
        }
    }

    private void beside(Aside aside) {
        boolean stays = requests.isKept();
        isAwaited = true;
        aside.answer(requests.method(), requests.target(), requests.body().clone(), new Aside.Reply() {
            @Override
            public void reply(int status, byte[] body) {
                door.onLoop(() -> {
                    if (isAwaited) {
                        isAwaited = false;
                        answered(status, body, stays);
                    }
                });
            }

            @Override
            public void refuse(Refusal refusal) {
                reply(refusal.status, error(refusal));
            }
        });
    }

    private static ByteBuffer whole(int status, byte[] body, boolean stays) {
        byte[] head = ("HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                + (stays ? "" : "\r\nConnection: close") + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(head.length + body.length).put(head).put(body).flip();
    }
}
