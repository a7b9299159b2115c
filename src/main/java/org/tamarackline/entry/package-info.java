/** One entry node: its application, its modules, readiness and shutdown. */
package org.tamarackline.entry;
