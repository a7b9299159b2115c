/** Fault soak of a fleet whose nodes are real processes, against a stand-in store and stand-in runners. */
package org.tamarackline.process.soak;
