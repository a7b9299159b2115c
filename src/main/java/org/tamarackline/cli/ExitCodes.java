package org.tamarackline.cli;

/** Exit codes of the binary. */
public final class ExitCodes {

    /** The command did what was asked. */
    public static final int SUCCESS = 0;

    /** The command failed, or the node refused what was asked. */
    public static final int FAILURE = 1;

    /** The command line or the settings file is wrong; nothing was done. */
    public static final int USAGE_ERROR = 2;

    private ExitCodes() {}
}
