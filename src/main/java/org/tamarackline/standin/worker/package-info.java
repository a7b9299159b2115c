/** Stand-in for a worker, which runs simulated tasks under leases, with fault switches and a history. */
package org.tamarackline.standin.worker;
