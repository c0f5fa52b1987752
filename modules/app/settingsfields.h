#pragma once

#include "configurationfields.h"
#include "documentreader.h"

#include <lagoonroute/app/settings.h>
#include <lagoonroute/base/errors.h>

#include <string>
#include <utility>

namespace lagoonroute
{

/** Names of the log levels in the settings, the same as in spdlog. */
inline constexpr ChoiceNames<LogLevel, 4> logLevelNames{
    { { LogLevel::Debug, "debug" }, { LogLevel::Info, "info" }, { LogLevel::Warning, "warning" }, { LogLevel::Error, "error" } }
};

template <>
struct FieldsOf<NodeAddress>
{
    template <typename Value, typename Visitor>
    static void visit(Value &address, Visitor &visitor)
    {
        visitor.text("ip", address.ip, TextForm::IpAddress);
        visitor.number("port", address.port, { 1, 65'535 });
    }
};

template <>
struct FieldsOf<ViewSetting>
{
    template <typename Value, typename Visitor>
    static void visit(Value &view, Visitor &visitor)
    {
        visitor.text("home", view.home, TextForm::Name);
        if (!view.mirror.empty() || std::is_same_v<Visitor, FieldReader>) {
            visitor.text("mirror", view.mirror, TextForm::Name);
        }
        visitor.text("service", view.service, TextForm::Name);
    }
};

template <>
struct FieldsOf<Settings>
{
    template <typename Value, typename Visitor>
    static void visit(Value &settings, Visitor &visitor)
    {
        using namespace std::chrono_literals;
        constexpr std::size_t maxContacts = 64;
        constexpr std::size_t maxViews = 1000;
        constexpr bool isReader = std::is_same_v<Visitor, FieldReader>;
        visitor.text("node", settings.node, TextForm::Name);
        visitor.text("zone", settings.zone, TextForm::Name);
        visitor.text("rack", settings.rack, TextForm::Name);
        visitor.text("cell", settings.cell, TextForm::Name);
        visitor.section("peer", settings.peer);
        visitor.section("http", settings.http);
        if (isReader || settings.advertise != NodeAddress{}) {
            visitor.section("advertise", settings.advertise);
        }
        if (isReader || settings.store != NodeAddress{}) {
            visitor.section("store", settings.store);
        }
        visitor.list("contacts", settings.contacts, maxContacts);
        visitor.choice("logLevel", settings.logLevel, logLevelNames);
        visitor.duration("withdrawMs", settings.withdrawTime, { 0ms, 60s });
        visitor.duration("drainLimitMs", settings.drainLimit, { 0ms, 1h });
        visitor.duration("offerLifetimeMs", settings.offerLifetime, { 100ms, 60s });
        visitor.table("services", settings.services, maxServices);
        visitor.list("views", settings.views, maxViews);
    }
};

/** Reads settings from a text. Throws InvalidDocument with one line per fault, each of which begins with `source`. */
template <typename T>
T settingsFromText(const std::string &text, const std::string &source)
{
    ReadDocument<T> document = readDocument<T>(text);
    if (document.faults.empty()) {
        return std::move(document.value);
    }
    std::string message;
    for (const CheckFault &fault : document.faults) {
        message += (message.empty() ? "" : "\n") + source + ": " + fault.toString();
    }
    throw InvalidDocument(message);
}

} // namespace lagoonroute
