/** Decisions about which node owns which shard. */
package org.tamarackline.core.ownership;
