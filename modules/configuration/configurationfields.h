#pragma once

#include "servicerulesfields.h"

#include <lagoonroute/configuration/configurationmodel.h>

namespace lagoonroute
{

/** Largest number of services of a configuration. */
inline constexpr std::size_t maxServices = 1000;

/** Largest number of availability zones, of racks in one of them, and of classes of workers. */
inline constexpr std::size_t maxPlaces = 1000;

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
        visitor.table("racks", zone.racks, maxPlaces);
    }
};

template <>
struct FieldsOf<Places>
{
    template <typename Value, typename Visitor>
    static void visit(Value &places, Visitor &visitor)
    {
        visitor.table("workerClasses", places.m_workerClasses, maxPlaces);
        visitor.table("zones", places.m_zones, maxPlaces);
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

/** A rack's class of workers must exist. */
void checkRelations(const std::string &place, const Places &places, std::vector<CheckFault> &faults);

/** A service's availability zones must exist. */
void checkRelations(const std::string &place, const Configuration &configuration, std::vector<CheckFault> &faults);

} // namespace lagoonroute
