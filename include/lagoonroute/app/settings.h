#pragma once

#include <lagoonroute/configuration/servicerules.h>
#include <lagoonroute/dispatch/shardview.h>
#include <lagoonroute/membership/member.h>
#include <lagoonroute/observation/log.h>

#include <map>
#include <string>
#include <vector>

namespace lagoonroute
{

/** A view that stands in the settings, for a process without a store. It never changes. */
struct ViewSetting
{
    std::string service;
    std::string home; /**< Name of the home's node. */
    std::string mirror; /**< Name of the mirror's node; empty for none. */

    /** Returns the view with epoch 1. */
    [[nodiscard]] ShardView view() const;

    auto operator<=>(const ViewSetting &) const = default;
};

/** Settings of one process, read from a JSON file with comments. */
struct Settings
{
    std::string node; /**< Unique name of the process. */
    NodeAddress peer; /**< Where other processes of the system reach it. */
    NodeAddress advertise; /**< Where others are told to reach it, when that differs from `peer`. */
    NodeAddress http; /**< Where callers, the upstream and operators reach it. */
    NodeAddress store; /**< The platform's store; port 0 when views and services stand in these settings. */
    std::string zone = "zone"; /**< Availability zone. */
    std::string rack = "rack"; /**< Rack within the availability zone. */
    LogLevel logLevel = LogLevel::Info;
    Duration withdrawTime = std::chrono::seconds(2); /**< Of a planned stop: between not ready and the refusal of new work. */
    Duration drainLimit = std::chrono::seconds(30); /**< Of a planned stop: after it, work that is left is cut. */
    std::string cell = "default"; /**< Name of the group of processes that gossip with one another. */
    Duration offerLifetime = std::chrono::seconds(10); /**< Time for which an announcement of the upstream holds. */
    std::vector<NodeAddress> contacts; /**< Peer addresses of some other processes. */
    std::map<std::string, ServiceRules> services; /**< By name, for a process without a store. */
    std::vector<ViewSetting> views; /**< For a process without a store. */

    /** Returns the settings in the file. Throws InvalidDocument with a line for each fault: file, field, value and what is allowed. */
    static Settings fromFile(const std::string &path);

    /** Returns the settings in the text; `source` names it in errors. */
    static Settings fromText(const std::string &text, const std::string &source);
};

} // namespace lagoonroute
