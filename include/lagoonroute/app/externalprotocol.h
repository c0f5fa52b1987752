#pragma once

#include <lagoonroute/direct/directjob.h>
#include <lagoonroute/direct/routetable.h>
#include <lagoonroute/direct/upstreamevents.h>
#include <lagoonroute/http/httpclient.h>
#include <lagoonroute/http/httpmessage.h>
#include <lagoonroute/store/storeport.h>

#include <concepts>
#include <optional>
#include <string>
#include <variant>

namespace lagoonroute
{

/** Kinds of requests from client accounts. */
enum class CallerRequestKind : std::uint8_t {
    Submit,
    State, /**< Query for the state of the job `id`, or, without an id, for the number of waiting jobs of the route. */
    Cancel, /**< Cancellation of the job `id`. */
    Malformed,
};

/** A client account's request, before its route is known. */
struct CallerRequest
{
    CallerRequestKind kind = CallerRequestKind::Malformed;
    std::string host;
    std::string path;
    std::string id; /**< Rest of the path after the route's prefix; set once the route is known. */
    Duration callerTimeout{ 0 }; /**< How long the client account waits for the answer; zero if not specified. */
    std::string fault; /**< Why the request is malformed. */

    auto operator<=>(const CallerRequest &) const = default;
};

/** Notice from an upstream to its agent; std::monostate when it cannot be parsed. */
using UpstreamNotice = std::variant<std::monostate, UpstreamReport, UpstreamLeft>;

/**
 * Names and message formats on the external interfaces of the direct roles: to client accounts, upstreams, operators and
 * the store.
 *
 * A protocol converts messages to values and back. It is stateless and makes no decisions.
 */
template <typename T>
concept ExternalProtocol
    = requires(const HttpRequest &request, const HttpResult &result, const DirectAnswer &answer, const StoreOperation &operation, const StoreItem &item)
{
    {
        T::callerRequest(request)
        } -> std::same_as<CallerRequest>;
    {
        T::job(request.body, std::string())
        } -> std::same_as<std::optional<DirectJob>>;
    {
        T::response(answer)
        } -> std::same_as<HttpResponse>;
    {
        T::unknownJob()
        } -> std::same_as<HttpResponse>;
    {
        T::waitingResponse(std::size_t())
        } -> std::same_as<HttpResponse>;
    {
        T::isReadyRequest(request)
        } -> std::same_as<bool>;
    {
        T::notice(request)
        } -> std::same_as<UpstreamNotice>;
    {
        T::noticeAccepted()
        } -> std::same_as<HttpResponse>;
    {
        T::order(std::declval<const OrderStart &>())
        } -> std::same_as<HttpRequest>;
    {
        T::order(std::declval<const OrderStop &>())
        } -> std::same_as<HttpRequest>;
    {
        T::order(std::declval<const OrderStatusQuery &>())
        } -> std::same_as<HttpRequest>;
    {
        T::orderResult(result)
        } -> std::same_as<OrderResult>;
    {
        T::statusQueryAnswer(result)
        } -> std::same_as<StatusQueryAnswered>;
    {
        T::routes(std::string())
        } -> std::same_as<std::optional<RouteTable>>;
    {
        T::routesKey()
        } -> std::same_as<std::string>;
    {
        T::zoneDrainsPrefix()
        } -> std::same_as<std::string>;
    {
        T::drainedZone(item)
        } -> std::same_as<std::optional<std::string>>;
    {
        T::storeCall(operation)
        } -> std::same_as<HttpRequest>;
    {
        T::storeReply(operation, result)
        } -> std::same_as<StoreReply>;
};

} // namespace lagoonroute
