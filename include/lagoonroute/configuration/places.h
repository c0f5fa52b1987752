#pragma once

#include <lagoonroute/configuration/resources.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace lagoonroute
{

template <typename T>
struct FieldsOf;

/** Capacity shared by all workers of a class. */
struct WorkerClass
{
    std::uint32_t slots = 8; /**< Number of tasks that a worker runs concurrently. */
    std::uint32_t connections = 64; /**< Number of connections that the upstream of a worker accepts. */
    Resources resources;

    auto operator<=>(const WorkerClass &) const = default;
};

/** Workers that share a switch and a power supply and may therefore fail together. */
struct Rack
{
    std::string workerClass; /**< Name of the worker class of all workers in the rack. */
    std::uint32_t workers = 1; /**< Number of workers in the rack. */

    auto operator<=>(const Rack &) const = default;
};

/** An availability zone. */
struct Zone
{
    std::map<std::string, Rack> racks; /**< Racks by name. */

    auto operator<=>(const Zone &) const = default;
};

/** Availability zones, racks and worker classes in which services run. Immutable; created by Places::Builder. */
class Places
{
public:
    class Builder;

    /** Returns the availability zones by name. */
    [[nodiscard]] const std::map<std::string, Zone> &zones() const noexcept
    {
        return m_zones;
    }

    /** Returns the worker classes by name. */
    [[nodiscard]] const std::map<std::string, WorkerClass> &workerClasses() const noexcept
    {
        return m_workerClasses;
    }

    auto operator<=>(const Places &) const = default;

private:
    template <typename T>
    friend struct FieldsOf;

    std::map<std::string, WorkerClass> m_workerClasses;
    std::map<std::string, Zone> m_zones;
};

/** Builds Places step by step. */
class Places::Builder
{
public:
    /** Adds a worker class, or replaces the class of the same name. */
    Builder &withWorkerClass(std::string name, WorkerClass workerClass);

    /** Adds a rack with workers of one class, or replaces the rack of the same name. Adds its availability zone if it is new. */
    Builder &withRack(const std::string &zone, std::string rack, std::string workerClass, std::uint32_t workers);

    /** Returns the places without checking them; Configuration::Builder does that. */
    [[nodiscard]] Places build() const;

private:
    Places m_places;
};

} // namespace lagoonroute
