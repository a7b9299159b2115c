/** HTTP server and JSON shared by the stand-ins for platform, worker and upstream. */
package org.tamarackline.standin;
