#include <lagoonroute/http/storeprotocol.h>

#include <lagoonroute/base/errors.h>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace lagoonroute
{

namespace
{

namespace json = boost::json;

constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusOk = 200;

struct NamedStatus
{
    StoreStatus status;
    std::string_view name;
};

constexpr std::array<NamedStatus, 5> statusNames{ { { StoreStatus::Ok, "ok" },
                                                    { StoreStatus::NotFound, "not-found" },
                                                    { StoreStatus::Conflict, "conflict" },
                                                    { StoreStatus::Unchanged, "unchanged" },
                                                    { StoreStatus::Rejected, "rejected" } } };

std::string text(const json::object &object, const char *name)
{
    return json::value_to<std::string>(object.at(name));
}

/** Versions travel as text, since JSON readers may keep 53 bits only. */
StoreVersion versionAt(const json::object &object, const char *name)
{
    const std::string digits = text(object, name);
    StoreVersion version = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), version);
    if (result.ec != std::errc{} || result.ptr != digits.data() + digits.size()) {
        throw MalformedMessage(std::string("store: ") + name + " is no version");
    }
    return version;
}

Duration millisecondsAt(const json::object &object, const char *name)
{
    return std::chrono::milliseconds(json::value_to<std::uint32_t>(object.at(name)));
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

HttpRequest post(std::string target, const json::object &body)
{
    HttpRequest request{ .method = "POST", .target = std::move(target) };
    request.fields.emplace_back("Content-Type", "application/json");
    request.body = json::serialize(body);
    return request;
}

struct CallEncoder
{
    HttpRequest operator()(const StoreRead &call) const
    {
        return post("/v1/read", { { "key", call.key } });
    }

    HttpRequest operator()(const StoreSwap &call) const
    {
        return post("/v1/swap", { { "key", call.key }, { "value", call.value }, { "expectedVersion", std::to_string(call.expectedVersion) } });
    }

    HttpRequest operator()(const StoreWatch &call) const
    {
        return post("/v1/watch", { { "key", call.key }, { "knownVersion", std::to_string(call.knownVersion) }, { "waitMs", toMilliseconds(call.wait) } });
    }

    HttpRequest operator()(const StoreLease &call) const
    {
        return post("/v1/lease", { { "key", call.key }, { "holder", call.holder }, { "termMs", toMilliseconds(call.term) } });
    }
};

StoreOperation operationFrom(const std::string &target, const json::object &body)
{
    if (target == "/v1/read") {
        return StoreRead{ text(body, "key") };
    }
    if (target == "/v1/swap") {
        return StoreSwap{ text(body, "key"), text(body, "value"), versionAt(body, "expectedVersion") };
    }
    if (target == "/v1/watch") {
        return StoreWatch{ text(body, "key"), versionAt(body, "knownVersion"), millisecondsAt(body, "waitMs") };
    }
    if (target == "/v1/lease") {
        return StoreLease{ text(body, "key"), text(body, "holder"), millisecondsAt(body, "termMs") };
    }
    throw MalformedMessage("store: no such call: " + target);
}

/** Runs `decode` and turns every error of the JSON library into MalformedMessage. */
template <typename Decode>
auto decoded(Decode &&decode)
{
    try {
        return decode();
    } catch (const MalformedMessage &) {
        throw;
    } catch (const std::exception &error) {
        throw MalformedMessage(std::string("store: ") + error.what());
    }
}

} // namespace

HttpRequest encodeStoreCall(const StoreOperation &operation)
{
    return std::visit(CallEncoder{}, operation);
}

StoreOperation decodeStoreCall(const HttpRequest &request)
{
    return decoded([&request] { return operationFrom(request.target, json::parse(request.body).as_object()); });
}

HttpResponse encodeStoreReply(const StoreReply &reply)
{
    const auto named = std::find_if(statusNames.begin(), statusNames.end(), [&reply](const NamedStatus &entry) { return entry.status == reply.status; });
    const std::string_view name = named == statusNames.end() ? "rejected" : named->name;
    HttpResponse response{ .status = reply.status == StoreStatus::Rejected ? statusTooManyRequests : statusOk };
    response.body = json::serialize(json::object{
        { "status", json::string_view(name.data(), name.size()) }, { "version", std::to_string(reply.entry.version) }, { "value", reply.entry.value } });
    return response;
}

StoreReply decodeStoreReply(const HttpResponse &response)
{
    if (response.status == statusTooManyRequests) {
        return StoreReply{ .status = StoreStatus::Rejected };
    }
    if (response.status != statusOk) {
        throw MalformedMessage("store answered with HTTP status " + std::to_string(response.status));
    }
    return decoded([&response] {
        const json::value document = json::parse(response.body);
        const json::object &body = document.as_object();
        const std::string name = text(body, "status");
        const auto named = std::find_if(statusNames.begin(), statusNames.end(), [&name](const NamedStatus &entry) { return entry.name == name; });
        if (named == statusNames.end()) {
            throw MalformedMessage("store: no such status: " + name);
        }
        return StoreReply{ .status = named->status, .entry = { text(body, "value"), versionAt(body, "version") } };
    });
}

} // namespace lagoonroute
