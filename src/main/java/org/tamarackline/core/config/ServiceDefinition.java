package org.tamarackline.core.config;

import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.TeamName;

/**
 * A service that callers send requests to.
 *
 * @param name name of the service, the first path segment of its requests and the role of its runners in the VM list
 * @param profile profile that the service picked
 * @param team team whose usage the requests are counted against
 */
public record ServiceDefinition(ServiceName name, ProfileName profile, TeamName team) {}
