/** Quick requests over HTTP: admission, choice of a runner, and streaming to and from it. */
package org.tamarackline.entry.proxy;
