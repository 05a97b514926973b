package honeygap.net.door;

import honeygap.net.http.Refusal;

/** Something behind the door that answers beside the loop: it is told, and its reply comes from another thread. */
public interface Aside {

    /** What becomes of one request; exactly one of these, once, from any thread. */
    interface Reply {

        void reply(int status, byte[] body);

        void refuse(Refusal refusal);
    }

    boolean takes(String path);

    /** Bodies may be so long. */
    int longest();

    /** On the loop: must not wait. */
    void answer(String method, String path, byte[] body, Reply reply);
}
