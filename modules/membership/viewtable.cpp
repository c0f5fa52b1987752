#include <lagoonroute/membership/viewtable.h>

#include <lagoonroute/base/errors.h>

#include <boost/json.hpp>

#include <charconv>

namespace lagoonroute
{

namespace
{

namespace json = boost::json;

/** Reads a 64-bit number that is stored as text, since JSON readers may retain only 53 bits of a number. */
std::uint64_t numberAt(const json::object &object, const char *name)
{
    const json::string &text = object.at(name).as_string();
    std::uint64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        throw InvalidDocument(std::string("views: field ") + name + " is not an unsigned 64-bit number: " + std::string(text));
    }
    return number;
}

json::object toJson(const ShardView &view)
{
    return { { "service", view.key.service },
             { "shard", view.key.shard },
             { "epoch", std::to_string(view.epoch) },
             { "home", std::to_string(view.home.value) },
             { "homeLife", std::to_string(view.homeIncarnation) },
             { "mirror", std::to_string(view.mirror.value) },
             { "mirrorLife", std::to_string(view.mirrorIncarnation) },
             { "recordsKept", view.recordsKept } };
}

ShardView viewFrom(const json::object &object)
{
    ShardView view;
    view.key = { json::value_to<std::string>(object.at("service")), json::value_to<std::uint32_t>(object.at("shard")) };
    view.epoch = numberAt(object, "epoch");
    view.home = NodeId{ numberAt(object, "home") };
    view.homeIncarnation = numberAt(object, "homeLife");
    view.mirror = NodeId{ numberAt(object, "mirror") };
    view.mirrorIncarnation = numberAt(object, "mirrorLife");
    view.recordsKept = object.at("recordsKept").as_bool();
    return view;
}

} // namespace

std::string encodeViews(const StoredViews &stored)
{
    json::array views;
    for (const auto &[key, view] : stored.views) {
        views.push_back(toJson(view));
    }
    json::array marks;
    for (const std::string &mark : stored.marks) {
        marks.emplace_back(mark);
    }
    return json::serialize(json::object{ { "views", std::move(views) }, { "marks", std::move(marks) } });
}

StoredViews decodeViews(std::string_view value)
{
    StoredViews stored;
    if (value.empty()) {
        return stored;
    }
    try {
        const json::value document = json::parse(json::string_view(value.data(), value.size()));
        for (const json::value &view : document.at("views").as_array()) {
            const ShardView decoded = viewFrom(view.as_object());
            stored.views[decoded.key] = decoded;
        }
        for (const json::value &mark : document.at("marks").as_array()) {
            stored.marks.push_back(json::value_to<std::string>(mark));
        }
    } catch (const InvalidDocument &) {
        throw;
    } catch (const std::exception &error) {
        throw InvalidDocument(std::string("views: ") + error.what());
    }
    return stored;
}

std::string viewsKey(std::string_view cell)
{
    return "views/" + std::string(cell);
}

} // namespace lagoonroute
