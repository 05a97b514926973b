package honeygap.share.host;

import honeygap.read.Fields;
import honeygap.read.Malformed;
import honeygap.read.Sheet;
import honeygap.share.table.Bounds;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** What an operator's file says of the sites whose processes share tables; docs/sites.md has each field. */
public final class SitesSheet {

    private static final int LONGEST_TEXT = 200;

    /** This process's name and site, and where others find its door; null for where the door itself listens. */
    public final String name;
    public final String site;
    public final InetSocketAddress advertise;
    /** Calls to others go through a proxy there; null for none. */
    public final InetSocketAddress proxy;
    /** Doors to begin with: one that answers is enough. */
    public final List<InetSocketAddress> seeds = new ArrayList<>();
    public final long every;
    public final long answerWithin;
    public final int workers;
    public final int roundBytes;
    public final Bounds bounds;
    /** Picks that one process may say it has out at one appliance. */
    public final double mostOut;

    private SitesSheet(Sheet sheet, String ifUnnamed) {
        name = sheet.text("name", ifUnnamed);
        site = sheet.text("site", null);
        advertise = sheet.has("advertise") ? sheet.address("advertise") : null;
        proxy = sheet.has("proxy") ? sheet.address("proxy") : null;
        for (Sheet seed : sheet.parts("seeds")) {
            seeds.add(seed.address("at"));
            seed.end();
        }
        every = sheet.duration("every", "1s");
        answerWithin = sheet.duration("answerWithin", "500ms");
        workers = (int) sheet.whole("workers", 3, 1, 16);
        roundBytes = (int) sheet.whole("roundBytes", 65_536, 1024, 1 << 20);
        mostOut = sheet.number("mostOut", 1000, 1, 1e6);
        bounds = new Bounds((int) sheet.whole("owners", 1000, 2, 100_000), (int) sheet.whole("names", 512, 8, 100_000),
                LONGEST_TEXT, LONGEST_TEXT, sheet.duration("holds", "10s"));
        for (String word : new String[] {name, site}) {
            if (word != null && !word.matches("[\\w.-]{1,60}")) {
                sheet.fault(word.equals(name) ? "name" : "site", "letters, digits, dots, dashes, 60 at most");
            }
        }
        if (answerWithin > every) {
            sheet.fault("answerWithin", "a time no longer than every");
        }
        sheet.end();
    }

    /** Reads the whole of it; all that is wrong is told at once, a line each. */
    public static SitesSheet of(Fields fields, String ifUnnamed) throws Malformed {
        Sheet sheet = new Sheet(fields);
        SitesSheet read = new SitesSheet(sheet, ifUnnamed);
        if (!sheet.noted().isEmpty()) {
            throw new Malformed(String.join("\n", sheet.noted()));
        }
        return read;
    }
}
