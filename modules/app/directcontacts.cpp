#include <lagoonroute/app/directcontacts.h>

#include <lagoonroute/app/addresstext.h>
#include <lagoonroute/app/directsettings.h>
#include <lagoonroute/base/errors.h>
#include <lagoonroute/observation/log.h>

namespace lagoonroute
{

std::vector<std::string> readableAddresses(const std::vector<std::string> &addresses)
{
    std::vector<std::string> readable;
    for (const std::string &address : addresses) {
        try {
            addressFromText(address);
            readable.push_back(address);
        } catch (const InvalidDocument &error) {
            logLine(LogLevel::Warning, "contact-unreadable", { { "fault", error.what() } });
        }
    }
    return readable;
}

void reloadContacts(const std::string &settingsPath, ReconnectSchedule &schedule, Instant now)
{
    try {
        const DirectSettings changed = DirectSettings::fromFile(settingsPath);
        schedule.addAddresses(changed.contactAddresses(), now);
        logLine(LogLevel::Info, "reloaded", { { "contacts", static_cast<std::int64_t>(changed.contacts.size()) } });
    } catch (const Error &error) {
        logLine(LogLevel::Warning, "reload-failed", { { "fault", error.what() } });
    }
}

void dialContacts(ReconnectSchedule &schedule, LinkEndpoint &links, Instant now)
{
    for (const std::string &address : schedule.due(now)) {
        schedule.dialled(address, links.dial(addressFromText(address)));
    }
}

} // namespace lagoonroute
