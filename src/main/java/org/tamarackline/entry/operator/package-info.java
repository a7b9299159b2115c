/** The operators' HTTP interface: configuration, VMs, usage, metrics and state. */
package org.tamarackline.entry.operator;
