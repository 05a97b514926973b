package honeygap.flags;

import honeygap.fleet.Method;
import java.util.Arrays;

/** The query of a flag evaluation. Two queries are equal if their identities are equal byte for byte. */
public class FlagQuery {

    public final Method method;
    /** The flag; null for a bulk evaluation or a tracking event. */
    public final String flag;
    /** A hash of the targeting key; 0 if there is none. */
    public final long targetingKeyHash;
    /** Everything that an answer may depend on: method, flag, credentials and context. */
    public final byte[] identity;
    final long hash;
    /** Whether other evaluations may receive the same answer, and it may be cached. */
    public final boolean isShareable;

    /** {@code hash} is a hash of the identity; 0 is replaced by 1, since an empty cache slot is 0. */
    public FlagQuery(Method method, String flag, long targetingKeyHash, byte[] identity, long hash, boolean isShareable) {
        this.method = method;
        this.flag = flag;
        this.targetingKeyHash = targetingKeyHash;
        this.identity = identity;
        this.hash = hash == 0 ? 1 : hash;
        this.isShareable = isShareable;
    }

    @Override
    public final boolean equals(Object other) {
        return other instanceof FlagQuery query && query.hash == hash
                && Arrays.equals(query.identity, identity);
    }

    @Override
    public final int hashCode() {
        return Long.hashCode(hash);
    }
}
