package org.tamarackline.core.config;

import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.TeamName;

/**
 * A service to which callers send requests, as configured by operators.
 *
 * @param name name of the service; also the first path segment of its requests and the role of its runners in the VM list
 * @param profile profile of the service
 * @param team team whose usage includes the requests
 */
public record ServiceDefinition(ServiceName name, ProfileName profile, TeamName team) {}
