package honeygap.replication.host;

import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import honeygap.config.SettingsReader;
import honeygap.replication.table.TableLimits;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Settings of the sites whose processes share tables, as read from the operator's file; docs/sites.md describes each
 * field. Times are in units of 0.1 ms.
 */
public final class ReplicationSettings {

    private static final int MAX_TEXT_LENGTH = 200;

    /**
     * Name and site of this process, and the address under which others reach its admin endpoint; null for its listen
     * address.
     */
    public final String name;
    public final String site;
    public final InetSocketAddress advertise;
    /** HTTP proxy for calls to other processes; null for none. */
    public final InetSocketAddress proxy;
    /** Admin endpoints to contact first; one that responds is enough. */
    public final List<InetSocketAddress> seeds = new ArrayList<>();
    public final long roundInterval;
    public final long answerTimeout;
    public final int workerThreads;
    public final int maxRoundBytes;
    public final TableLimits limits;
    /** Maximum number of picks in flight that one process may report for one appliance. */
    public final double maxInFlight;

    private ReplicationSettings(SettingsReader input, String defaultName) {
        name = input.text("name", defaultName);
        site = input.text("site", null);
        advertise = input.has("advertise") ? input.address("advertise") : null;
        proxy = input.has("proxy") ? input.address("proxy") : null;
        for (SettingsReader seed : input.sections("seeds")) {
            seeds.add(seed.address("at"));
            seed.rejectUnknownFields();
        }
        roundInterval = input.duration("every", "1s");
        answerTimeout = input.duration("answerWithin", "500ms");
        workerThreads = (int) input.integer("workers", 3, 1, 16);
        maxRoundBytes = (int) input.integer("roundBytes", 65_536, 1024, 1 << 20);
        maxInFlight = input.number("mostOut", 1000, 1, 1e6);
        limits = new TableLimits((int) input.integer("owners", 1000, 2, 100_000),
                (int) input.integer("names", 512, 8, 100_000),
                MAX_TEXT_LENGTH, MAX_TEXT_LENGTH, input.duration("holds", "10s"));
        for (String value : new String[] {name, site}) {
            if (value != null && !value.matches("[\\w.-]{1,60}")) {
                input.reportExpected(value.equals(name) ? "name" : "site", "letters, digits, dots, dashes, 60 at most");
            }
        }
        if (answerTimeout > roundInterval) {
            input.reportExpected("answerWithin", "a time no longer than every");
        }
        input.rejectUnknownFields();
    }

    /** Reads all settings; reports all errors together, one per line. */
    public static ReplicationSettings of(JsonObject fields, String defaultName) throws Malformed {
        SettingsReader input = new SettingsReader(fields);
        ReplicationSettings settings = new ReplicationSettings(input, defaultName);
        if (!input.errors().isEmpty()) {
            throw new Malformed(String.join("\n", input.errors()));
        }
        return settings;
    }
}
