#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/observation/log.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonroute
{

/** An entry that a process may dial. */
struct ContactSetting
{
    std::string address; /**< "ip:port". */

    auto operator<=>(const ContactSetting &) const = default;
};

/** The roles that these settings serve. */
enum class DirectRole : std::uint8_t {
    Entry,
    Agent,
};

/** Settings of a `direct-entry` or `direct-agent`, read from a JSON file with comments. Addresses have the form "ip:port". */
struct DirectSettings
{
    std::string node; /**< Unique name of the process. */
    std::string zone = "zone"; /**< Availability zone. */
    std::string callers; /**< Entry: where client accounts reach it. */
    std::string ready; /**< Entry: where the balancer asks whether it takes connections. */
    std::string link; /**< Entry: where agents and other entries reach it. */
    std::string announce; /**< Agent: where its upstream reports itself. */
    std::string upstream; /**< Agent: where its upstream takes orders. */
    std::string metrics; /**< Where operators read metrics; empty for nowhere. */
    std::string store; /**< The platform's store. */
    std::vector<ContactSetting> contacts; /**< Some entries; any of them may be gone. */
    LogLevel logLevel = LogLevel::Info;
    Duration offerLifetime = std::chrono::seconds(5); /**< Agent: time for which a report of the upstream holds. */
    Duration withdrawTime = std::chrono::milliseconds(2200); /**< Of a planned stop: the balancer asks once a second and needs two misses. */
    Duration drainLimit = std::chrono::milliseconds(5500); /**< Of a planned stop: after it, what is left is cut. */

    /** Returns the settings in the file. Throws InvalidDocument with a line for each fault: file, field, value and what is allowed. */
    static DirectSettings fromFile(const std::string &path);

    /** Returns the settings in the text; `source` names it in errors. */
    static DirectSettings fromText(const std::string &text, const std::string &source);

    /** Throws InvalidDocument naming each field that the role needs and that is missing; `source` names the file there. */
    void require(DirectRole role, const std::string &source) const;

    /** Addresses of all contacts. */
    [[nodiscard]] std::vector<std::string> contactAddresses() const;

    auto operator<=>(const DirectSettings &) const = default;
};

} // namespace lagoonroute
