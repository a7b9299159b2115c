/** Slots of runners, admission of quick requests, retries and the ejection of failing runners. */
package org.tamarackline.core.routing;
