package honeygap.capture.file;

import java.io.IOException;

/** A file that can't be read on: which, where, and what is wrong there. */
public final class Spoilt extends IOException {

    private static final long serialVersionUID = 1;

    /** Counted by this. */
    public final String kind;

    public Spoilt(String file, long offset, String kind, String description) {
        super(file + ": byte " + offset + ": " + description);
        this.kind = kind;
    }
}
