/** Routing of latency-critical requests: slots of runners, admission, retries and the ejection of failing runners. */
package org.tamarackline.core.routing;
