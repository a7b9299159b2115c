/** Jobs over HTTP, and the runners of the racks that this node owns. */
package org.tamarackline.entry.jobs;
