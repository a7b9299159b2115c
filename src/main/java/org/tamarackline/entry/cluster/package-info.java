/** The loops that keep this node a member, own its shards and keep its configuration current. */
package org.tamarackline.entry.cluster;
