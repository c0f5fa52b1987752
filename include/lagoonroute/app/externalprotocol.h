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

/** What a client account asks for. */
enum class CallerRequestKind : std::uint8_t {
    Submit,
    State, /**< Of the job `id`, or, without one, how many jobs of the route wait. */
    Cancel, /**< The job `id`. */
    Malformed,
};

/** A client account's request, before its route is known. */
struct CallerRequest
{
    CallerRequestKind kind = CallerRequestKind::Malformed;
    std::string host;
    std::string path;
    std::string id; /**< What follows the route's prefix; set once the route is known. */
    Duration callerTimeout{ 0 }; /**< How long the client account waits; zero if it does not say. */
    std::string fault; /**< Of a malformed request. */

    auto operator<=>(const CallerRequest &) const = default;
};

/** What an upstream says to the agent beside it; nothing when it cannot be read. */
using UpstreamNotice = std::variant<std::monostate, UpstreamReport, UpstreamLeft>;

/**
 * Names and formats of the world around the direct roles: what client accounts, upstreams, operators and the store speak.
 *
 * A protocol turns messages into values and back. It decides nothing and keeps nothing.
 */
template <typename T>
concept ExternalProtocol = requires(const HttpRequest &request, const HttpResult &result, const DirectAnswer &answer, const StoreOperation &operation)
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
        T::noticeTaken()
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
        T::storeCall(operation)
        } -> std::same_as<HttpRequest>;
    {
        T::storeReply(operation, result)
        } -> std::same_as<StoreReply>;
};

} // namespace lagoonroute
