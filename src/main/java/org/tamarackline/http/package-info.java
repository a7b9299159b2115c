/**
 * HTTP for the processes: an asynchronous client with few threads, a server without a servlet container, and a blocking
 * client whose timeout covers the whole call.
 */
package org.tamarackline.http;
