#pragma once

#include "servicerulesfields.h"

#include <lagoonroute/configuration/configurationmodel.h>

namespace lagoonroute
{

/** Largest number of services in a configuration. */
inline constexpr std::size_t maxServices = 1000;

/** Largest number of availability zones, of racks in one availability zone, and of worker classes. */
inline constexpr std::size_t maxTopologyEntries = 1000;

template <>
struct FieldsOf<Resources>
{
    template <typename Value, typename Visitor>
    static void visit(Value &resources, Visitor &visitor)
    {
        visitor.number("accelerators", resources.accelerators, { 0, 1'000 });
        visitor.number("cpuMillis", resources.cpuMillis, { 0, 10'000'000 });
        visitor.number("memoryMegabytes", resources.memoryMegabytes, { 0, 100'000'000 });
    }
};

template <>
struct FieldsOf<WorkerClass>
{
    template <typename Value, typename Visitor>
    static void visit(Value &workerClass, Visitor &visitor)
    {
        visitor.number("connections", workerClass.connections, { 1, 65'535 });
        visitor.section("resources", workerClass.resources);
        visitor.number("slots", workerClass.slots, { 1, 4'096 });
    }
};

template <>
struct FieldsOf<Rack>
{
    template <typename Value, typename Visitor>
    static void visit(Value &rack, Visitor &visitor)
    {
        visitor.text("workerClass", rack.workerClass, TextForm::Name);
        visitor.number("workers", rack.workers, { 0, 10'000 });
    }
};

template <>
struct FieldsOf<Zone>
{
    template <typename Value, typename Visitor>
    static void visit(Value &zone, Visitor &visitor)
    {
        visitor.table("racks", zone.racks, maxTopologyEntries);
    }
};

template <>
struct FieldsOf<Places>
{
    template <typename Value, typename Visitor>
    static void visit(Value &places, Visitor &visitor)
    {
        visitor.table("workerClasses", places.m_workerClasses, maxTopologyEntries);
        visitor.table("zones", places.m_zones, maxTopologyEntries);
    }
};

template <>
struct FieldsOf<Configuration>
{
    template <typename Value, typename Visitor>
    static void visit(Value &configuration, Visitor &visitor)
    {
        visitor.section("places", configuration.m_places);
        visitor.table("services", configuration.m_services, maxServices);
    }
};

/** Checks that the worker class of every rack exists. */
void checkRelations(const std::string &path, const Places &places, std::vector<CheckFault> &faults);

/** Checks that the availability zones of every service exist. */
void checkRelations(const std::string &path, const Configuration &configuration, std::vector<CheckFault> &faults);

} // namespace lagoonroute
