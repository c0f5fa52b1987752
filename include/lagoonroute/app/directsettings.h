#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/leaselimit.h>
#include <lagoonroute/observation/log.h>

#include <cstddef>
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

/** Roles that use these settings. */
enum class DirectRole : std::uint8_t {
    Entry,
    Agent,
};

/** Settings of a `direct-entry` or `direct-agent`, read from a JSON file with comments. Addresses have the form "ip:port". */
struct DirectSettings
{
    std::string node; /**< Unique name of the process. */
    std::string zone = "zone"; /**< Availability zone. */
    std::string callers; /**< Entry: address for client accounts. */
    std::string ready; /**< Entry: address for the balancer's readiness checks. */
    std::string link; /**< Entry: address for links from agents and other entries. */
    std::string announce; /**< Agent: address for the reports of its upstream. */
    std::string upstream; /**< Agent: address at which its upstream accepts orders. */
    std::string metrics; /**< Address that serves metrics to operators; empty for none. */
    std::string store; /**< Address of the platform's store. */
    std::vector<ContactSetting> contacts; /**< Some of the entries; any of them may no longer exist. */
    LogLevel logLevel = LogLevel::Info;
    std::size_t memoryMb = 120; /**< Memory of the host for this process, in MiB; the smallest entries have 120. */
    Duration offerLifetime = std::chrono::seconds(5); /**< Agent: how long a report of the upstream is valid. */
    Duration longestLease = defaultLongestLease; /**< Longest lease that an upstream grants for its runs. */
    bool zoneDrains = false; /**< Whether no task is started in zones that the operator has drained in the store. */
    Duration withdrawTime = std::chrono::milliseconds(2200); /**< Planned stop: the balancer withdraws the entry after two failed checks, one a second. */
    Duration drainLimit = std::chrono::milliseconds(5500); /**< Planned stop: time after which the process exits even with work left. */
    bool capacityReservations = false; /**< Entry: whether tasks that have waited long reserve capacity at agents. */

    /** Returns the settings in the file. Throws InvalidDocument with a line for each fault: file, field, value and what is allowed there. */
    static DirectSettings fromFile(const std::string &path);

    /** Returns the settings in the text; `source` names it in errors. Throws as fromFile() does. */
    static DirectSettings fromText(const std::string &text, const std::string &source);

    /** Throws InvalidDocument with a line for each field that the role requires and that is missing; `source` is the file name in it. */
    void require(DirectRole role, const std::string &source) const;

    /** Returns the addresses of all contacts. */
    [[nodiscard]] std::vector<std::string> contactAddresses() const;

    auto operator<=>(const DirectSettings &) const = default;
};

} // namespace lagoonroute
