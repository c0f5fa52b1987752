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

/** A queue: the requests that it accepts, the service that runs them, and the objectives for its client accounts. */
struct RouteRule
{
    std::string name;
    std::string host;
    std::string prefix; /**< Prefix of the path; the longest match wins. */
    std::string service;
    Duration timeout{ 0 }; /**< Timeout of a request; zero for none. */
    std::uint32_t priority = 0; /**< 0 is the most urgent. */
    std::uint32_t maxAttempts = 1; /**< Number of failed runs of one task after which its job fails. */
    double stretch = 1; /**< Factor on the longest chain of run times, for the objective. */
    Duration targetLatency{ 0 }; /**< Added to the stretched chain, for the objective. */
    std::string unsupported; /**< Requested feature that this version does not support; empty for none. */

    auto operator<=>(const RouteRule &) const = default;
};

/** Current routes and limits under one version number; a table is only ever replaced by one of a higher version. */
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

    /** Version of the configuration; 0 if none has been received yet. */
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    /** Returns the route for a host and path, or null. The pointer is valid as long as the table. */
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
