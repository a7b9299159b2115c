/** Table, objects and VM list of an installation of its own, as interfaces and a client that reaches them over HTTP. */
package org.tamarackline.store;
