#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/reconnectschedule.h>
#include <lagoonroute/transport/linkendpoint.h>

#include <string>
#include <vector>

namespace lagoonroute
{

/** Returns the addresses that can be dialled. Others, as another writer may have left them in a list, are logged and left out. */
std::vector<std::string> readableAddresses(const std::vector<std::string> &addresses);

/** Reads the settings file again and adds its contacts to the schedule. An invalid file is logged and changes nothing. */
void reloadContacts(const std::string &settingsPath, ReconnectSchedule &schedule, Instant now);

/** Dials the addresses that are due. All of them must be readable. */
void dialContacts(ReconnectSchedule &schedule, LinkEndpoint &links, Instant now);

} // namespace lagoonroute
