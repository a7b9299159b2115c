/** HTTP for the processes of a fleet: one client with few threads, and a server without a servlet container. */
package org.tamarackline.http;
