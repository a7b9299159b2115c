/** Log output as JSON, one object per line. */
package org.tamarackline.logging;
