#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/dialplan.h>

#include <string>

namespace lagoonroute
{

/** Reads the settings file again and gives its contacts to the plan. A wrong file is logged and changes nothing. */
void reloadContacts(const std::string &settingsPath, DialPlan &plan, Instant now);

} // namespace lagoonroute
