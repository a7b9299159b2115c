package org.tamarackline.cli;

/** Exit codes of the binary. */
public final class ExitCodes {

    /** The command succeeded. */
    public static final int SUCCESS = 0;

    /** The command failed, or the node refused the request. */
    public static final int FAILURE = 1;

    /** The command line or the settings file is not valid; nothing was done. */
    public static final int USAGE_ERROR = 2;

    private ExitCodes() {}
}
