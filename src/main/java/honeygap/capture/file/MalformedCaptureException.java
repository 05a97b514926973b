package honeygap.capture.file;

import java.io.IOException;

/** Reports invalid content of a capture file, with the file's name, the byte offset and the fault. */
public final class MalformedCaptureException extends IOException {

    private static final long serialVersionUID = 1;

    /** Short name of the kind of fault, for counting. */
    public final String kind;

    public MalformedCaptureException(String file, long offset, String kind, String description) {
        super(file + ": byte " + offset + ": " + description);
        this.kind = kind;
    }
}
