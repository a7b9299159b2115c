/**
 * Adapters between a fleet node and the platform: settings, callers' requests, the store and runners.
 *
 * <p>Only this package depends on the names of the platform's settings, fields, paths and headers. It translates them
 * and makes no scheduling decisions.
 */
package org.tamarackline.platform;
