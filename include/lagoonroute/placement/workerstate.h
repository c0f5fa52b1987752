#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/configuration/resources.h>

#include <compare>
#include <cstdint>
#include <string>

namespace lagoonroute
{

/** State of one worker that offers a service. */
struct WorkerState
{
    NodeId node; /**< Agent beside the worker's upstream. */
    Incarnation incarnation = 0; /**< Incarnation of that agent. */
    std::string zone; /**< Availability zone. */
    std::string rack; /**< Rack within the availability zone. */
    std::uint16_t slots = 0; /**< Tasks that may run at once. */
    std::uint16_t connections = 0; /**< Connections that the upstream accepts. */
    Resources capacity; /**< Processors, memory and accelerators. */
    bool leaving = false; /**< Whether the worker accepts no new tasks. */

    auto operator<=>(const WorkerState &) const = default;
};

} // namespace lagoonroute
