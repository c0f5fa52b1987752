#pragma once

#include <lagoonroute/configuration/checkfault.h>
#include <lagoonroute/configuration/places.h>
#include <lagoonroute/configuration/servicerules.h>

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace lagoonroute
{

/** The complete configuration set by operators. Immutable; created by Configuration::Builder. */
class Configuration
{
public:
    class Builder;

    /** Returns the availability zones, racks and worker classes in which the services run. */
    [[nodiscard]] const Places &places() const noexcept
    {
        return m_places;
    }

    /** Returns the rules of every service, by service name. */
    [[nodiscard]] const std::map<std::string, ServiceRules> &services() const noexcept
    {
        return m_services;
    }

    auto operator<=>(const Configuration &) const = default;

private:
    template <typename T>
    friend struct FieldsOf;

    Places m_places;
    std::map<std::string, ServiceRules> m_services;
};

/** Builds a Configuration step by step. */
class Configuration::Builder
{
public:
    /** Starts from an empty configuration, without services, availability zones and worker classes. */
    Builder() = default;

    /** Starts from the given configuration. */
    explicit Builder(Configuration configuration);

    /** Sets the availability zones, racks and worker classes in which the services run. */
    Builder &withPlaces(Places places);

    /** Adds a service, or replaces the service of the same name. */
    Builder &withService(ServiceRules rules);

    /** Removes the service of the given name, if there is one. */
    Builder &withoutService(const std::string &name);

    /** Returns every fault in the current state of the builder. */
    [[nodiscard]] std::vector<CheckFault> check() const;

    /** Returns the configuration. Throws InvalidConfiguration with every fault if there are any. */
    [[nodiscard]] Configuration build() const;

private:
    Configuration m_configuration;
};

} // namespace lagoonroute
