package honeygap.flags;

import honeygap.fleet.Method;
import java.util.Arrays;

/** What an evaluation asks. Two that are the same to the last byte ask the same. */
public class Question {

    public final Method method;
    /** The flag; null where all are asked for, or none. */
    public final String flag;
    /** A hash of the targeting key; 0 where there is none. */
    public final long targetingKeyHash;
    /** All that an answer may depend on: method, flag, credentials, context. */
    public final byte[] identity;
    final long hash;
    /** Others may be told the same answer, and it may be kept. */
    public final boolean shareable;

    /** The hash is one of the identity, in which 0 stands for none. */
    public Question(Method method, String flag, long targetingKeyHash, byte[] identity, long hash, boolean isShareable) {
        this.method = method;
        this.flag = flag;
        this.targetingKeyHash = targetingKeyHash;
        this.identity = identity;
        this.hash = hash == 0 ? 1 : hash;
        this.shareable = isShareable;
    }

    @Override
    public final boolean equals(Object other) {
        return other instanceof Question query && query.hash == hash
                && Arrays.equals(query.identity, identity);
    }

    @Override
    public final int hashCode() {
        return Long.hashCode(hash);
    }
}
