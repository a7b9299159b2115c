package org.tamarackline.cli;

/** Provides the version of the binary. */
final class Versions {

    private static final String DEVELOPMENT_VERSION = "development";

    private Versions() {}

    /** Returns the version from the manifest of the jar, or a placeholder for classes outside a jar. */
    static String current() {
        String version = Versions.class.getPackage().getImplementationVersion();
        return version == null ? DEVELOPMENT_VERSION : version;
    }
}
