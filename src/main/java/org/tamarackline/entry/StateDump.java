package org.tamarackline.entry;

/** One section of the state dump that operators request; each component of a node can add its own. */
public interface StateDump {

    /** Returns the name of the section. */
    String name();

    /** Returns a snapshot that Jackson can write as JSON; it contains no secrets. */
    Object snapshot();
}
