/** Tools that are not part of an installation: load generator, demonstration and local cluster. */
package org.tamarackline.load;
