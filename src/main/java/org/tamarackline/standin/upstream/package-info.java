/** Stand-in for an upstream (a runner of a service) that echoes requests, with fault switches and a history. */
package org.tamarackline.standin.upstream;
