/** The platform's services as interfaces, and a client that reaches them over HTTP. */
package org.tamarackline.platform;
