/** The load generator and the demonstration, which are tools and no part of an installation. */
package org.tamarackline.load;
