#pragma once

#include <lagoonroute/base/time.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonroute
{

/** A queue: which requests it takes, who runs them, and what its client accounts are promised. */
struct RouteRule
{
    std::string name;
    std::string host;
    std::string prefix; /**< Of the path; the longest that matches wins. */
    std::string service;
    Duration timeout{ 0 }; /**< Of a request; zero for none. */
    std::uint32_t priority = 0; /**< 0 goes first. */
    std::uint32_t maxAttempts = 1; /**< Runs of one task that may fail. */
    double stretch = 1; /**< Of the longest chain of run times, for the objective. */
    Duration targetLatency{ 0 }; /**< Added to the stretched chain, for the objective. */
    std::string unsupported; /**< What the route asks for and this version does not do; empty for nothing. */

    auto operator<=>(const RouteRule &) const = default;
};

/** The routes and limits in force, under one number; only a higher number ever replaces it. */
class RouteTable
{
public:
    /** Limits on requests. */
    struct Limits
    {
        std::size_t maxBodyBytes = 262'144;

        auto operator<=>(const Limits &) const = default;
    };

    RouteTable() = default;

    /** Creates the table of a configuration's version. */
    RouteTable(std::uint64_t version, std::vector<RouteRule> rules, const Limits &limits);

    /** Number of the configuration; 0 when none has come yet. */
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    /** Returns the route for a host and path, or null. The pointer lives as long as the table. */
    [[nodiscard]] const RouteRule *find(std::string_view host, std::string_view path) const;

    /** All routes, by host and longest prefix first. */
    [[nodiscard]] const std::vector<RouteRule> &rules() const noexcept
    {
        return m_rules;
    }

    [[nodiscard]] const Limits &limits() const noexcept
    {
        return m_limits;
    }

    auto operator<=>(const RouteTable &) const = default;

private:
    std::uint64_t m_version = 0;
    std::vector<RouteRule> m_rules;
    Limits m_limits;
};

} // namespace lagoonroute
