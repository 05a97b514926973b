package honeygap.net.door;

import honeygap.net.http.Refusal;

/**
 * Handles admin requests off the event loop: a request is handed over on the loop, its reply comes from another
 * thread.
 */
public interface Aside {

    /** The result of one request; exactly one of the methods is called, once, from any thread. */
    interface Reply {

        void reply(int status, byte[] body);

        void refuse(Refusal refusal);
    }

    /** Whether requests with this path are handled here. */
    boolean takes(String path);

    /** The maximum length of a request body. */
    int longest();

    /** Called on the loop; must not block. */
    void answer(String method, String path, byte[] body, Reply reply);
}
