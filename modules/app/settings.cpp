#include <lagoonroute/app/settings.h>

#include "addresstext.h"
#include "filetext.h"

#include <lagoonroute/base/errors.h>

#include <boost/json.hpp>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

std::string text(const json::object &object, const char *name)
{
    const json::value *member = object.if_contains(name);
    if (member == nullptr || !member->is_string()) {
        throw InvalidDocument("field \"" + std::string(name) + "\" must be a string");
    }
    return json::value_to<std::string>(*member);
}

std::string textOr(const json::object &object, const char *name, const std::string &absent)
{
    return object.contains(name) ? text(object, name) : absent;
}

std::uint16_t smallNumber(const json::object &object, const char *name)
{
    const json::value *member = object.if_contains(name);
    json::error_code error;
    const auto value = member == nullptr ? std::uint16_t{ 0 } : member->to_number<std::uint16_t>(error);
    if (member == nullptr || error) {
        throw InvalidDocument("field \"" + std::string(name) + "\" must be a whole number from 0 to 65535");
    }
    return value;
}

const json::object &section(const json::object &object, const char *name)
{
    const json::value *member = object.if_contains(name);
    if (member == nullptr || !member->is_object()) {
        throw InvalidDocument("field \"" + std::string(name) + "\" must be an object");
    }
    return member->get_object();
}

const json::array &list(const json::object &object, const char *name)
{
    static const json::array empty;
    const json::value *member = object.if_contains(name);
    if (member == nullptr) {
        return empty;
    }
    if (!member->is_array()) {
        throw InvalidDocument("field \"" + std::string(name) + "\" must be an array");
    }
    return member->get_array();
}

const json::object &elementOf(const json::value &element, const char *listName)
{
    if (!element.is_object()) {
        throw InvalidDocument("each element of \"" + std::string(listName) + "\" must be an object");
    }
    return element.get_object();
}

NodeAddress addressOf(const json::object &object)
{
    return NodeAddress{ text(object, "ip"), smallNumber(object, "port") };
}

ShardView viewOf(const json::object &object)
{
    ShardView view;
    view.key.service = text(object, "service");
    view.epoch = 1;
    view.home = NodeId::fromName(text(object, "home"));
    const std::string mirror = textOr(object, "mirror", "");
    view.mirror = mirror.empty() ? NodeId{} : NodeId::fromName(mirror);
    return view;
}

} // namespace

Settings Settings::fromFile(const std::string &path)
{
    return fromText(readFile(path), path);
}

Settings Settings::fromText(const std::string &text, const std::string &source)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::error_code error;
    const json::value document = json::parse(text, error, {}, options);
    if (error || !document.is_object()) {
        throw InvalidDocument(source + ": not a JSON object: " + error.message());
    }
    try {
        const json::object &object = document.get_object();
        Settings settings;
        settings.node = lagoonroute::text(object, "node");
        settings.peer = addressOf(section(object, "peer"));
        settings.http = addressOf(section(object, "http"));
        settings.zone = textOr(object, "zone", "");
        settings.rack = textOr(object, "rack", "");
        settings.logLevel = textOr(object, "logLevel", "info");
        if (object.contains("withdrawMs")) {
            settings.withdrawTime = std::chrono::milliseconds(smallNumber(object, "withdrawMs"));
        }
        if (object.contains("drainLimitMs")) {
            settings.drainLimit = std::chrono::milliseconds(smallNumber(object, "drainLimitMs"));
        }
        if (object.contains("offerLifetimeMs")) {
            settings.offerLifetime = std::chrono::milliseconds(smallNumber(object, "offerLifetimeMs"));
        }
        if (object.contains("advertise")) {
            settings.advertise = addressOf(section(object, "advertise"));
        }
        if (object.contains("store")) {
            settings.store = addressOf(section(object, "store"));
        }
        settings.cell = textOr(object, "cell", "default");
        for (const json::value &contact : list(object, "contacts")) {
            if (!contact.is_string()) {
                throw InvalidDocument("each element of \"contacts\" must be a text such as 127.0.0.1:7400");
            }
            settings.contacts.push_back(addressFromText(std::string(contact.get_string())));
        }
        for (const json::value &member : list(object, "members")) {
            settings.contacts.push_back(addressOf(section(elementOf(member, "members"), "peer")));
        }
        for (const json::value &service : list(object, "services")) {
            settings.services.push_back(ServiceRules::Builder(lagoonroute::text(elementOf(service, "services"), "name")).build());
        }
        for (const json::value &view : list(object, "views")) {
            settings.views.push_back(viewOf(elementOf(view, "views")));
        }
        return settings;
    } catch (const InvalidDocument &fault) {
        throw InvalidDocument(source + ": " + fault.what());
    }
}

} // namespace lagoonroute
