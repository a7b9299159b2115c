/** The commands of the {@code tamarackline} binary. */
package org.tamarackline.cli;
