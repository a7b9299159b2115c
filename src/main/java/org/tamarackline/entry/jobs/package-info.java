/** HTTP interface of jobs, and the scheduling of tasks in the racks that this node owns. */
package org.tamarackline.entry.jobs;
