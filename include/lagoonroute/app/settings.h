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

/** View given in the settings of a process without a store. It never changes. */
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
    NodeAddress peer; /**< Address at which other processes of the system reach this one. */
    NodeAddress advertise; /**< Address announced to other processes instead of `peer`; port 0 announces `peer`. */
    NodeAddress http; /**< Address at which callers, the upstream and operators reach the process. */
    NodeAddress store; /**< Address of the platform's store; port 0 for a process that uses none. */
    std::string zone = "zone"; /**< Availability zone. */
    std::string rack = "rack"; /**< Rack within the availability zone. */
    LogLevel logLevel = LogLevel::Info;
    Duration withdrawTime = std::chrono::seconds(2); /**< Planned stop: delay between reporting not ready and refusing new work. */
    Duration drainLimit = std::chrono::seconds(30); /**< Planned stop: time from refusing new work until unfinished work is aborted. */
    std::string cell = "default"; /**< Name of the group of processes that exchange gossip. */
    Duration offerLifetime = std::chrono::seconds(10); /**< Time for which an announcement of the upstream is valid. */
    std::vector<NodeAddress> contacts; /**< Peer addresses of some other processes. */
    std::map<std::string, ServiceRules> services; /**< Services by name, for a process without a store. */
    std::vector<ViewSetting> views; /**< Views of the shards, for a process without a store. */

    /** Reads the settings from a file. Throws InvalidDocument with one line per fault: file, document path, value and allowed values. */
    static Settings fromFile(const std::string &path);

    /** Reads the settings from a text; `source` is the name of the text in errors. Throws InvalidDocument like fromFile(). */
    static Settings fromText(const std::string &text, const std::string &source);
};

} // namespace lagoonroute
