/** Works out from the logs of fleet nodes where the time of jobs went. */
package org.tamarackline.fleet.losses;
