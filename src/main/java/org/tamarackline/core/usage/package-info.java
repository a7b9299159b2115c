/** Usage by team and service, with useful work counted apart from repeated and wasted work. */
package org.tamarackline.core.usage;
