/** The usage record: work served once, by team and service, apart from work repeated or thrown away. */
package org.tamarackline.core.usage;
