/** Stand-in for the platform: table, object store and list of VMs, with fault switches. */
package org.tamarackline.standin.platform;
