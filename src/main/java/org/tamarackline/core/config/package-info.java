/** What operators set: profiles, quotas of teams, services and VMs out of service. */
package org.tamarackline.core.config;
