package honeygap.capture.message;

import honeygap.capture.stream.Reassembly;
import java.util.Map;
import java.util.TreeMap;

/** Gives each connection the conversation that its first bytes tell of, and hears what is said on all of them. */
public final class Conversations implements Reassembly.Out {

    private final Conversation.Hearer hearer;
    private final Map<String, Long> counts = new TreeMap<>();
    private long heard;
    private long connections;

    public Conversations(Conversation.Hearer hearer) {
        this.hearer = hearer;
    }

    /** What could not be read, by kind. */
    public Map<String, Long> counts() {
        return counts;
    }

    public long heard() {
        return heard;
    }

    public long connections() {
        return connections;
    }

    @Override
    public void opened(Reassembly.Flow flow, long at) {
        connections++;
    }

    private Conversation of(Reassembly.Flow flow, boolean isClient, byte[] bytes) {
        if (flow.subject == null && isClient) {
            boolean isHttp = HttpConversation.isRequest(bytes);
            if (!isHttp && !flow.isWhole && !PgConversation.isStatement(bytes)) {
                counts.merge("chunks of nothing known", 1L, Long::sum);
                return null;
            }
            flow.subject = isHttp ? new HttpConversation(flow.isWhole, () -> made(flow), this::said, counts)
                    : new PgConversation(flow.isWhole, () -> made(flow), this::said, counts);
        }
        return (Conversation) flow.subject;
    }

    private Spoken made(Reassembly.Flow flow) {
        Spoken spoken = new Spoken();
        spoken.connection = flow.number;
        spoken.client = flow.client;
        spoken.server = flow.server;
        return spoken;
    }

    private void said(Spoken spoken) {
        heard++;
        hearer.accept(spoken);
    }

    @Override
    public void data(Reassembly.Flow flow, boolean isClient, byte[] bytes, long at) {
        Conversation conversation = of(flow, isClient, bytes);
        if (conversation != null) {
            conversation.data(isClient, bytes, at);
        }
    }

    @Override
    public void hole(Reassembly.Flow flow, boolean isClient, long length, long at) {
        if (flow.subject != null) {
            ((Conversation) flow.subject).hole(isClient, length);
        } else {
            // The first bytes are missing: what follows is of an unknown place in whatever it is.
            counts.merge("beginnings missing", 1L, Long::sum);
            flow.subject = new LostBeginning(flow);
        }
    }

    /** Until a sure edge tells what it is. */
    private final class LostBeginning implements Conversation {

        private final Reassembly.Flow flow;

        LostBeginning(Reassembly.Flow flow) {
            this.flow = flow;
        }

        @Override
        public void data(boolean isClient, byte[] bytes, long at) {
            if (isClient && (HttpConversation.isRequest(bytes) || PgConversation.isStatement(bytes))) {
                Conversation found = HttpConversation.isRequest(bytes)
                        ? new HttpConversation(false, () -> made(flow), Conversations.this::said, counts)
                        : new PgConversation(false, () -> made(flow), Conversations.this::said, counts);
                flow.subject = found;
                found.data(true, bytes, at);
            }
        }

        @Override
        public void hole(boolean isClient, long length) {
        }

        @Override
        public void over() {
        }
    }

    @Override
    public void closed(Reassembly.Flow flow, Reassembly.End how, long at) {
        if (flow.subject != null) {
            ((Conversation) flow.subject).over();
        }
    }
}
