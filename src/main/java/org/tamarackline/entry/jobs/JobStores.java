package org.tamarackline.entry.jobs;

import org.tamarackline.store.ObjectStore;
import org.tamarackline.store.TableStore;

/**
 * Where the state of jobs lasts.
 *
 * @param table rows of jobs and tasks
 * @param objects checkpoints and results that workers write
 */
record JobStores(TableStore table, ObjectStore objects) {}
