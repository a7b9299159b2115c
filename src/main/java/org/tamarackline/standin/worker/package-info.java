/** Stand-in for a worker that runs simulated tasks under a lease, with fault switches and a history. */
package org.tamarackline.standin.worker;
