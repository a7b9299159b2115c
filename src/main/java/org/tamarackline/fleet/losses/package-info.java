/** Computes from the logs of fleet nodes how jobs spent their time. */
package org.tamarackline.fleet.losses;
