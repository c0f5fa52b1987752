#pragma once

#include <lagoonroute/direct/linkmessages.h>

#include <lagoonroute/base/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** Self-description that an upstream reports. */
struct UpstreamReport
{
    std::string id; /**< Identifies the upstream or one incarnation of it; an upstream may use the same id across restarts. */
    std::int64_t incarnationStart = 0; /**< Start of this incarnation, Unix milliseconds by the upstream's clock. */
    std::uint64_t sequence = 0; /**< Grows with each report of one incarnation. */
    std::string service;
    std::string zone;
    Resources capacity;
    std::vector<std::string> labels;
    bool isDraining = false;

    auto operator<=>(const UpstreamReport &) const = default;
};

/** Notice that an incarnation of an upstream has left as planned. */
struct UpstreamLeft
{
    std::string id;

    auto operator<=>(const UpstreamLeft &) const = default;
};

/** Running run in the upstream's own list. */
struct ListedRun
{
    DirectTaskId task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;

    auto operator<=>(const ListedRun &) const = default;
};

/** Ended run in the upstream's own list. */
struct ListedEnd
{
    std::uint64_t number = 0; /**< Grows with each ended run of one incarnation. */
    DirectTaskId task;
    std::uint32_t run = 0;
    RunEnd end = RunEnd::Lost;
    std::string checkpoint;

    auto operator<=>(const ListedEnd &) const = default;
};

/** How an order to the upstream was answered. */
enum class OrderResult : std::uint8_t {
    Accepted,
    FenceTooLow, /**< The upstream has seen a higher fencing token. */
    RunTooLow,
    TooLate, /**< The lease end of the order has passed. */
    NoCapacity,
    Unhealthy,
    OtherIncarnation, /**< Another incarnation of the upstream answered; nothing was done. */
    Invalid, /**< The upstream cannot interpret the order. */
    NoAnswer, /**< The order may have been carried out, or may still be. */
    Refused, /**< The connection was refused, so the order was not sent. The upstream may still be running. */
};

/** Answer to OrderStart. */
struct StartAnswered
{
    DirectTaskId task;
    std::uint32_t run = 0;
    OrderResult result = OrderResult::NoAnswer;

    auto operator<=>(const StartAnswered &) const = default;
};

/** Answer to OrderStop. */
struct StopAnswered
{
    DirectTaskId task;
    std::uint32_t run = 0;
    OrderResult result = OrderResult::NoAnswer;

    auto operator<=>(const StopAnswered &) const = default;
};

/** Answer to OrderStatusQuery. */
struct StatusQueryAnswered
{
    std::uint64_t query = 0; /**< Number of the order. */
    OrderResult result = OrderResult::NoAnswer;
    std::optional<std::int64_t> clock; /**< The upstream's steady clock, milliseconds. */
    std::optional<std::int64_t> incarnationStart; /**< As in UpstreamReport. */
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    bool isComplete = true; /**< Whether every row was readable. If not, a run that is not listed may be running all the same. */

    auto operator<=>(const StatusQueryAnswered &) const = default;
};

/** Fields common to all orders to the upstream. */
struct OrderHeader
{
    std::string upstream; /**< Id of the upstream that the order is meant for; empty for any. */
    std::uint64_t fencingToken = 0;

    auto operator<=>(const OrderHeader &) const = default;
};

/** Order to start a run. */
struct OrderStart
{
    OrderHeader header;
    DirectTaskId task;
    std::uint32_t run = 0;
    std::string spec;
    std::string checkpoint;
    std::int64_t leaseEnd = 0; /**< On the upstream's clock, milliseconds. */

    auto operator<=>(const OrderStart &) const = default;
};

/** Order to stop a run, also one whose start order has not arrived yet. */
struct OrderStop
{
    OrderHeader header;
    DirectTaskId task;
    std::uint32_t run = 0;

    auto operator<=>(const OrderStop &) const = default;
};

/** Order to renew the lease of all runs and to list running and ended runs. */
struct OrderStatusQuery
{
    OrderHeader header;
    std::uint64_t query = 0;
    std::uint64_t lastSeenEnd = 0; /**< Ended runs up to this number need not be listed again. */
    std::optional<std::int64_t> leaseEnd; /**< As in OrderStart; no value if no lease is to be renewed. */
    Duration wait{ 0 }; /**< Longest time that the answer is withheld until a run ends. */

    auto operator<=>(const OrderStatusQuery &) const = default;
};

/** Action that sends a message on a link. */
struct SendOnLink
{
    LinkId link = 0;
    LinkMessage message;

    auto operator<=>(const SendOnLink &) const = default;
};

/** Action that closes a link; messages on it that have not been read yet are discarded. */
struct CloseLink
{
    LinkId link = 0;

    auto operator<=>(const CloseLink &) const = default;
};

/** Action that persists an upstream's report for the agent's next incarnation. */
struct PersistReport
{
    UpstreamReport report;

    auto operator<=>(const PersistReport &) const = default;
};

/** Log entry about a decision of a core. */
struct DecisionNote
{
    std::string event;
    std::string subject; /**< Request, upstream or node. */
    std::string detail;
    bool isWarning = false;

    auto operator<=>(const DecisionNote &) const = default;
};

/** Action requested by UpstreamCore. */
using UpstreamAction = std::variant<OrderStart, OrderStop, OrderStatusQuery, SendOnLink, CloseLink, PersistReport, DecisionNote>;

/** Actions of one step, in order. */
using UpstreamActions = std::vector<UpstreamAction>;

} // namespace lagoonroute
