/**
 * HTTP for the processes of a fleet: one client with few threads, and a server without a servlet container; and a blocking
 * client whose calls are bounded.
 */
package org.tamarackline.http;
