#include <lagoonroute/configuration/places.h>

#include <utility>

namespace lagoonroute
{

Places::Builder &Places::Builder::withWorkerClass(std::string name, WorkerClass workerClass)
{
    m_places.m_workerClasses.insert_or_assign(std::move(name), workerClass);
    return *this;
}

Places::Builder &Places::Builder::withRack(const std::string &zone, std::string rack, std::string workerClass, std::uint32_t workers)
{
    m_places.m_zones[zone].racks.insert_or_assign(std::move(rack), Rack{ std::move(workerClass), workers });
    return *this;
}

Places Places::Builder::build() const
{
    return m_places;
}

} // namespace lagoonroute
