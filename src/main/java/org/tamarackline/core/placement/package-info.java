/** Where tasks run, which tasks give way to urgent ones, and how teams share a rack. */
package org.tamarackline.core.placement;
