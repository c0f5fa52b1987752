#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/reconnectschedule.h>
#include <lagoonroute/transport/linkendpoint.h>

#include <string>

namespace lagoonroute
{

/** Reads the settings file again and adds its contacts to the schedule. An invalid file is logged and changes nothing. */
void reloadContacts(const std::string &settingsPath, ReconnectSchedule &schedule, Instant now);

/**
 * Dials the addresses that are due.
 *
 * A malformed address, such as one that another process wrote to the store, is logged and removed from the schedule.
 */
void dialContacts(ReconnectSchedule &schedule, LinkEndpoint &links, Instant now);

} // namespace lagoonroute
