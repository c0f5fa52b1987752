#include <lagoonroute/configuration/configurationmodel.h>

#include "configurationfields.h"
#include "fieldchecker.h"

#include <utility>

namespace lagoonroute
{

void checkRelations(const std::string &path, const Places &places, std::vector<CheckFault> &faults)
{
    const std::string zonesPath = childPath(path, "zones");
    for (const auto &[zoneName, zone] : places.zones()) {
        const std::string racksPath = childPath(childPath(zonesPath, zoneName), "racks");
        for (const auto &[rackName, rack] : zone.racks) {
            if (!places.workerClasses().contains(rack.workerClass)) {
                faults.push_back({ childPath(childPath(racksPath, rackName), "workerClass"), quoted(rack.workerClass), "a name under /places/workerClasses" });
            }
        }
    }
}

void checkRelations(const std::string & /*path*/, const Configuration &configuration, std::vector<CheckFault> &faults)
{
    for (const auto &[name, rules] : configuration.services()) {
        const std::string zonesPath = childPath(childPath("/services", name), "zones");
        for (std::size_t index = 0; index < rules.zones().size(); ++index) {
            if (!configuration.places().zones().contains(rules.zones()[index])) {
                faults.push_back({ childPath(zonesPath, std::to_string(index)), quoted(rules.zones()[index]), "a name under /places/zones" });
            }
        }
    }
}

Configuration::Builder::Builder(Configuration configuration)
    : m_configuration(std::move(configuration))
{
}

Configuration::Builder &Configuration::Builder::withPlaces(Places places)
{
    m_configuration.m_places = std::move(places);
    return *this;
}

Configuration::Builder &Configuration::Builder::withService(ServiceRules rules)
{
    std::string name = rules.name();
    m_configuration.m_services.insert_or_assign(std::move(name), std::move(rules));
    return *this;
}

Configuration::Builder &Configuration::Builder::withoutService(const std::string &name)
{
    m_configuration.m_services.erase(name);
    return *this;
}

std::vector<CheckFault> Configuration::Builder::check() const
{
    std::vector<CheckFault> faults;
    checkValue("", m_configuration, faults);
    return faults;
}

Configuration Configuration::Builder::build() const
{
    std::vector<CheckFault> faults = check();
    if (!faults.empty()) {
        throw InvalidConfiguration(std::move(faults));
    }
    return m_configuration;
}

} // namespace lagoonroute
