package honeygap.net.admin;

import honeygap.net.http.Refusal;

/**
 * Handles admin requests off the event loop: a request is handed over on the loop, its reply comes from another
 * thread.
 */
public interface AsyncHandler {

    /** The result of one request; exactly one of the methods is called, once, from any thread. */
    interface Reply {

        void reply(int status, byte[] body);

        void refuse(Refusal refusal);
    }

    /** Whether requests with this path are handled here. */
    boolean handles(String path);

    /** The maximum length of a request body. */
    int maxBodyBytes();

    /** Called on the loop; must not block. */
    void handle(String method, String path, byte[] body, Reply reply);
}
