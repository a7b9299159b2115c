/** The settings that operators change at run time: profiles, team quotas, services and VMs out of service. */
package org.tamarackline.core.config;
