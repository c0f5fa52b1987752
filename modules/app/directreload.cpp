#include <lagoonroute/app/directreload.h>

#include <lagoonroute/app/directsettings.h>
#include <lagoonroute/base/errors.h>
#include <lagoonroute/observation/log.h>

namespace lagoonroute
{

void reloadContacts(const std::string &settingsPath, DialPlan &plan, Instant now)
{
    try {
        const DirectSettings changed = DirectSettings::fromFile(settingsPath);
        plan.learn(changed.contactAddresses(), now);
        logLine(LogLevel::Info, "reloaded", { { "contacts", static_cast<std::int64_t>(changed.contacts.size()) } });
    } catch (const Error &error) {
        logLine(LogLevel::Warning, "reload-failed", { { "fault", error.what() } });
    }
}

} // namespace lagoonroute
