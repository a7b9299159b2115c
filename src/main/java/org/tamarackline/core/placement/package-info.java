/** Placement of tasks on workers, eviction of tasks for latency-critical ones, and the quotas of teams. */
package org.tamarackline.core.placement;
