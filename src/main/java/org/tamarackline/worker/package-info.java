/** Client of the control protocol of workers. */
package org.tamarackline.worker;
