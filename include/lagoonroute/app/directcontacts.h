#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/dialplan.h>
#include <lagoonroute/transport/linkendpoint.h>

#include <string>

namespace lagoonroute
{

/** Reads the settings file again and gives its contacts to the plan. A wrong file is logged and changes nothing. */
void reloadContacts(const std::string &settingsPath, DialPlan &plan, Instant now);

/** Dials what the plan has due. A contact that is no address, which another writer may have left, is logged and forgotten. */
void dialContacts(DialPlan &plan, LinkEndpoint &links, Instant now);

} // namespace lagoonroute
