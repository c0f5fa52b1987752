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

/** What an upstream says of itself. */
struct UpstreamReport
{
    std::string id; /**< Of this life or of the upstream; one upstream may keep it over several lives. */
    std::int64_t incarnationStart = 0; /**< Start of this life, Unix milliseconds by the upstream's clock. */
    std::uint64_t sequence = 0; /**< Grows with each report of one life. */
    std::string service;
    std::string zone;
    Resources capacity;
    std::vector<std::string> labels;
    bool isDraining = false;

    auto operator<=>(const UpstreamReport &) const = default;
};

/** A life of an upstream left on purpose. */
struct UpstreamLeft
{
    std::string id;

    auto operator<=>(const UpstreamLeft &) const = default;
};

/** A run in the upstream's own list. */
struct ListedRun
{
    DirectTaskId task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;

    auto operator<=>(const ListedRun &) const = default;
};

/** An end in the upstream's own list. */
struct ListedEnd
{
    std::uint64_t number = 0; /**< Grows with each end of one life. */
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
    OtherIncarnation, /**< Another life of the upstream answered; nothing was done. */
    Invalid, /**< The upstream does not understand the order. */
    NoAnswer, /**< It may have been carried out, or may be later. */
    Refused, /**< No process listens at the upstream's address. */
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

    auto operator<=>(const StatusQueryAnswered &) const = default;
};

/** Parts of every order to the upstream. */
struct OrderHeader
{
    std::string upstream; /**< Life that the order is meant for; empty for any. */
    std::uint64_t fencingToken = 0;

    auto operator<=>(const OrderHeader &) const = default;
};

/** Start a run. */
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

/** Stop a run; also one that has not arrived yet. */
struct OrderStop
{
    OrderHeader header;
    DirectTaskId task;
    std::uint32_t run = 0;

    auto operator<=>(const OrderStop &) const = default;
};

/** Renew the lease of everything that runs, and list runs and ends. */
struct OrderStatusQuery
{
    OrderHeader header;
    std::uint64_t query = 0;
    std::uint64_t lastSeenEnd = 0; /**< Ends up to this number need not be listed again. */
    std::optional<std::int64_t> leaseEnd; /**< As in OrderStart; none to renew nothing. */
    Duration wait{ 0 }; /**< For an end, before the answer. */

    auto operator<=>(const OrderStatusQuery &) const = default;
};

/** Send a message on a link. */
struct SendOnLink
{
    LinkId link = 0;
    LinkMessage message;

    auto operator<=>(const SendOnLink &) const = default;
};

/** Close a link; nothing that is still to be read on it counts. */
struct CloseLink
{
    LinkId link = 0;

    auto operator<=>(const CloseLink &) const = default;
};

/** Keep an upstream's report for the agent's next life. */
struct PersistReport
{
    UpstreamReport report;

    auto operator<=>(const PersistReport &) const = default;
};

/** What a core wants the log to say. */
struct DecisionNote
{
    std::string event;
    std::string subject; /**< Request, upstream or node. */
    std::string detail;
    bool isWarning = false;

    auto operator<=>(const DecisionNote &) const = default;
};

/** What UpstreamCore asks for. */
using UpstreamAction = std::variant<OrderStart, OrderStop, OrderStatusQuery, SendOnLink, CloseLink, PersistReport, DecisionNote>;

/** Actions of one step, in order. */
using UpstreamActions = std::vector<UpstreamAction>;

} // namespace lagoonroute
