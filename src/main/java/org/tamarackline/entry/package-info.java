/** An entry node: its HTTP application, Guice modules, readiness, metrics and planned stop. */
package org.tamarackline.entry;
