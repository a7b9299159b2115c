/** Stand-ins of the users' platform for a fleet: its store and its runners, which speak the platform's protocol. */
package org.tamarackline.standin.fleet;
