#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/reconnectschedule.h>
#include <lagoonroute/transport/linkendpoint.h>

#include <string>

namespace lagoonroute
{

/** Reads the settings file again and gives its contacts to the schedule. A wrong file is logged and changes nothing. */
void reloadContacts(const std::string &settingsPath, ReconnectSchedule &schedule, Instant now);

/** Dials what the schedule has due. A contact that is no address, which another writer may have left, is logged and forgotten. */
void dialContacts(ReconnectSchedule &schedule, LinkEndpoint &links, Instant now);

} // namespace lagoonroute
