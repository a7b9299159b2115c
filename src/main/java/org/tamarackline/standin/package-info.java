/** The HTTP server that the stand-ins for platform, worker and upstream share. */
package org.tamarackline.standin;
