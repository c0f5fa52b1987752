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

/** Everything that operators define, as one immutable value made by Configuration::Builder. */
class Configuration
{
public:
    class Builder;

    /** Places in which the services run. */
    [[nodiscard]] const Places &places() const noexcept
    {
        return m_places;
    }

    /** Rules of every service, by the service's name. */
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
    /** Starts with a configuration that has neither services nor places. */
    Builder() = default;

    /** Starts with the given configuration. */
    explicit Builder(Configuration configuration);

    /** Sets the places in which the services run. */
    Builder &withPlaces(Places places);

    /** Adds a service, or replaces the one of that name. */
    Builder &withService(ServiceRules rules);

    /** Removes a service, if there is one of that name. */
    Builder &withoutService(const std::string &name);

    /** Returns every fault of what was set so far. */
    [[nodiscard]] std::vector<CheckFault> check() const;

    /** Returns the configuration. Throws InvalidConfiguration with every fault. */
    [[nodiscard]] Configuration build() const;

private:
    Configuration m_configuration;
};

} // namespace lagoonroute
