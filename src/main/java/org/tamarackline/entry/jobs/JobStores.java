package org.tamarackline.entry.jobs;

import org.tamarackline.store.ObjectStore;
import org.tamarackline.store.TableStore;

/**
 * Persistent stores of the state of jobs.
 *
 * @param table rows of jobs and tasks
 * @param objects checkpoints and results, written by workers
 */
record JobStores(TableStore table, ObjectStore objects) {}
