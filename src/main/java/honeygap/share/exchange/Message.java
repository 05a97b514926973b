package honeygap.share.exchange;

import honeygap.share.table.Known;
import honeygap.share.table.Parcel;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What goes between two processes, a part a table: how far the sender has heard, and entries.
 *
 * @param from the sender
 * @param version of the form that the sender speaks
 */
public record Message(String from, int version, Map<String, Part> parts) {

    /** The version of the form spoken here. */
    public static final int VERSION = 1;

    /** Either may be empty. */
    public record Part(List<Known> digest, List<Parcel> parcels) { }

    public static Message of(String from) {
        return new Message(from, VERSION, new LinkedHashMap<>());
    }

    public boolean isNewer() {
        return version > VERSION;
    }
}
