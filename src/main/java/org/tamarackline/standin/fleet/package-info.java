/** Stand-ins for the store and the runners of the users' platform, which speak the platform's protocol. */
package org.tamarackline.standin.fleet;
