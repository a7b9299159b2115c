package org.tamarackline.cli;

/** Entry point of the {@code tamarackline} binary. */
public final class Main {

    private Main() {}

    /** Runs the command named by the first argument. */
    public static void main(String[] args) {
        System.out.println("tamarackline");
    }
}
