/**
 * The platform's names, formats and calls, translated into the project's types.
 *
 * <p>Nothing outside this package knows how the platform spells its settings, fields, paths or headers. Nothing in this
 * package decides.
 */
package org.tamarackline.platform;
