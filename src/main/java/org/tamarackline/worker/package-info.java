/** The control protocol of workers and its client. */
package org.tamarackline.worker;
