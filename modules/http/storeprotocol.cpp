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

std::string stringMember(const json::object &object, const char *name)
{
    return json::value_to<std::string>(object.at(name));
}

/** Returns a version. Versions are sent as strings, since JSON parsers may retain only 53 bits of an integer. */
StoreVersion versionMember(const json::object &object, const char *name)
{
    const std::string digits = stringMember(object, name);
    StoreVersion version = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), version);
    if (result.ec != std::errc{} || result.ptr != digits.data() + digits.size()) {
        throw MalformedMessage(std::string("store: member \"") + name + "\" is not a version: " + digits);
    }
    return version;
}

Duration millisecondsMember(const json::object &object, const char *name)
{
    return std::chrono::milliseconds(json::value_to<std::uint32_t>(object.at(name)));
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

HttpRequest postRequest(std::string target, const json::object &body)
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
        return postRequest("/v1/read", { { "key", call.key } });
    }

    HttpRequest operator()(const StoreSwap &call) const
    {
        return postRequest("/v1/swap", { { "key", call.key }, { "value", call.value }, { "expectedVersion", std::to_string(call.expectedVersion) } });
    }

    HttpRequest operator()(const StoreWatch &call) const
    {
        return postRequest("/v1/watch",
                           { { "key", call.key }, { "knownVersion", std::to_string(call.knownVersion) }, { "waitMs", toMilliseconds(call.wait) } });
    }

    HttpRequest operator()(const StoreLease &call) const
    {
        return postRequest("/v1/lease", { { "key", call.key }, { "holder", call.holder }, { "termMs", toMilliseconds(call.term) } });
    }

    HttpRequest operator()(const StoreList & /*call*/) const
    {
        throw Error("store: this protocol has no call that lists a prefix");
    }
};

StoreOperation operationFrom(const std::string &target, const json::object &body)
{
    if (target == "/v1/read") {
        return StoreRead{ stringMember(body, "key") };
    }
    if (target == "/v1/swap") {
        return StoreSwap{ stringMember(body, "key"), stringMember(body, "value"), versionMember(body, "expectedVersion") };
    }
    if (target == "/v1/watch") {
        return StoreWatch{ stringMember(body, "key"), versionMember(body, "knownVersion"), millisecondsMember(body, "waitMs") };
    }
    if (target == "/v1/lease") {
        return StoreLease{ stringMember(body, "key"), stringMember(body, "holder"), millisecondsMember(body, "termMs") };
    }
    throw MalformedMessage("store: unknown call: " + target);
}

/** Runs `decode` and converts every other exception, such as those of the JSON library, to MalformedMessage. */
template <typename Decode>
auto decodeOrThrowMalformed(Decode &&decode)
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
    return decodeOrThrowMalformed([&request] { return operationFrom(request.target, json::parse(request.body).as_object()); });
}

HttpResponse encodeStoreReply(const StoreReply &reply)
{
    const auto match = std::find_if(statusNames.begin(), statusNames.end(), [&reply](const NamedStatus &entry) { return entry.status == reply.status; });
    const std::string_view name = match == statusNames.end() ? "rejected" : match->name;
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
        throw MalformedMessage("store: unexpected HTTP status " + std::to_string(response.status));
    }
    return decodeOrThrowMalformed([&response] {
        const json::value document = json::parse(response.body);
        const json::object &body = document.as_object();
        const std::string name = stringMember(body, "status");
        const auto match = std::find_if(statusNames.begin(), statusNames.end(), [&name](const NamedStatus &entry) { return entry.name == name; });
        if (match == statusNames.end()) {
            throw MalformedMessage("store: unknown status: " + name);
        }
        return StoreReply{ .status = match->status, .entry = { stringMember(body, "value"), versionMember(body, "version") } };
    });
}

} // namespace lagoonroute
