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

/** What every worker of a class has. */
struct WorkerClass
{
    std::uint32_t slots = 8; /**< Tasks that run at once. */
    std::uint32_t connections = 64; /**< Connections that its upstream takes. */
    Resources resources;

    auto operator<=>(const WorkerClass &) const = default;
};

/** Workers that share a switch and a power supply, and so fail together. */
struct Rack
{
    std::string workerClass; /**< Name of the class of its workers. */
    std::uint32_t workers = 1; /**< Number of its workers. */

    auto operator<=>(const Rack &) const = default;
};

/** An availability zone. */
struct Zone
{
    std::map<std::string, Rack> racks; /**< By name. */

    auto operator<=>(const Zone &) const = default;
};

/** The places in which services run, made by Places::Builder. */
class Places
{
public:
    class Builder;

    /** Availability zones by name. */
    [[nodiscard]] const std::map<std::string, Zone> &zones() const noexcept
    {
        return m_zones;
    }

    /** Classes of workers by name. */
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
    /** Adds a class of workers, or replaces the one of that name. */
    Builder &withWorkerClass(std::string name, WorkerClass workerClass);

    /** Adds a rack with workers of one class; its availability zone appears with its first rack. */
    Builder &withRack(const std::string &zone, std::string rack, std::string workerClass, std::uint32_t workers);

    /** Returns the places. Configuration::Builder checks them. */
    [[nodiscard]] Places build() const;

private:
    Places m_places;
};

} // namespace lagoonroute
