/** The life cycle of tasks and the scheduling of one rack. Does no I/O: events go in, row changes and commands come out. */
package org.tamarackline.core.task;
