/** Stand-in for the platform's table, object store and VM list, with fault switches. */
package org.tamarackline.standin.platform;
