/** Settings files of the processes: reading, checking and the checked values. */
package org.tamarackline.settings;
