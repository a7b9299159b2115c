package org.tamarackline.entry;

/** A part of the state dump that operators request. */
public interface StateDump {

    /** Returns the name of the part. */
    String name();

    /** Returns a snapshot that Jackson can write as JSON; holds no secrets. */
    Object snapshot();
}
