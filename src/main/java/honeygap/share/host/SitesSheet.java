package honeygap.share.host;

import honeygap.read.Fields;
import honeygap.read.Malformed;
import honeygap.read.Sheet;
import honeygap.share.table.TableLimits;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** What an operator's file says of the sites whose processes share tables; docs/sites.md has each field. */
public final class SitesSheet {

    private static final int MAX_TEXT_LENGTH = 200;

    /** This process's name and site, and where others find its door; null for where the door itself listens. */
    public final String name;
    public final String site;
    public final InetSocketAddress advertise;
    /** Calls to others go through a proxy there; null for none. */
    public final InetSocketAddress proxy;
    /** Doors to begin with: one that answers is enough. */
    public final List<InetSocketAddress> seeds = new ArrayList<>();
    public final long roundInterval;
    public final long answerTimeout;
    public final int workerThreads;
    public final int maxRoundBytes;
    public final TableLimits limits;
    /** Picks that one process may say it has out at one appliance. */
    public final double maxInFlight;

    private SitesSheet(Sheet input, String defaultName) {
        name = input.text("name", defaultName);
        site = input.text("site", null);
        advertise = input.has("advertise") ? input.address("advertise") : null;
        proxy = input.has("proxy") ? input.address("proxy") : null;
        for (Sheet seed : input.parts("seeds")) {
            seeds.add(seed.address("at"));
            seed.end();
        }
        roundInterval = input.duration("every", "1s");
        answerTimeout = input.duration("answerWithin", "500ms");
        workerThreads = (int) input.whole("workers", 3, 1, 16);
        maxRoundBytes = (int) input.whole("roundBytes", 65_536, 1024, 1 << 20);
        maxInFlight = input.number("mostOut", 1000, 1, 1e6);
        limits = new TableLimits((int) input.whole("owners", 1000, 2, 100_000), (int) input.whole("names", 512, 8, 100_000),
                MAX_TEXT_LENGTH, MAX_TEXT_LENGTH, input.duration("holds", "10s"));
        for (String value : new String[] {name, site}) {
            if (value != null && !value.matches("[\\w.-]{1,60}")) {
                input.fault(value.equals(name) ? "name" : "site", "letters, digits, dots, dashes, 60 at most");
            }
        }
        if (answerTimeout > roundInterval) {
            input.fault("answerWithin", "a time no longer than every");
        }
        input.end();
    }

    /** Reads the whole of it; all that is wrong is told at once, a line each. */
    public static SitesSheet of(Fields fields, String defaultName) throws Malformed {
        Sheet input = new Sheet(fields);
        SitesSheet settings = new SitesSheet(input, defaultName);
        if (!input.noted().isEmpty()) {
            throw new Malformed(String.join("\n", input.noted()));
        }
        return settings;
    }
}
