/** Parsing and validation of the settings file of an entry node, and the validated settings. */
package org.tamarackline.settings;
