/** Stand-in for a runner of a service, which echoes requests, with fault switches and a history. */
package org.tamarackline.standin.upstream;
