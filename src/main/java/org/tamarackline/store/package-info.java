/** Interfaces of the platform's table, object store and VM list, and a client that accesses them over HTTP. */
package org.tamarackline.store;
