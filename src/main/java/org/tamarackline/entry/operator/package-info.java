/** The HTTP interface of operators. */
package org.tamarackline.entry.operator;
