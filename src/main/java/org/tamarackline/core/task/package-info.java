/** The life cycle of tasks and the scheduler of one rack: pure state that turns events into decisions. */
package org.tamarackline.core.task;
