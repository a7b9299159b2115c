package org.tamarackline.core.task;

/** Why a task is parked. */
public enum ParkReason {
    /** No worker of any known rack is large enough. */
    FITS_NOWHERE,
    /** The task failed on as many different workers as the poison threshold allows. */
    POISON,
    /** The team of the task is no longer configured. */
    TEAM_RETIRED
}
