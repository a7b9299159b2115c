/** Log output as one JSON object a line. */
package org.tamarackline.logging;
