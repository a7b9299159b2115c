package org.tamarackline.cli;

/** Static helpers for the version of the binary. */
final class Versions {

    private static final String DEVELOPMENT_VERSION = "development";

    private Versions() {}

    /** Returns the version that the build wrote into the jar. */
    static String current() {
        String version = Versions.class.getPackage().getImplementationVersion();
        return version == null ? DEVELOPMENT_VERSION : version;
    }
}
