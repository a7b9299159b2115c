/** Shards, derived from the VM list, and their owners: the preferred owner of each, and those that this node owns. */
package org.tamarackline.core.ownership;
