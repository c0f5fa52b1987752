#pragma once

#include "httpservice.h"
#include "record.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace review
{

/** Orders to an upstream, as a fault may treat them. */
enum class OrderKind {
    Start,
    Stop,
    Hold,
};

/** What becomes of an order. */
struct OrderFate
{
    bool isAnswered = true;
    std::chrono::milliseconds delay{ 0 }; /**< Time after which it is carried out. */
};

/**
 * Stand-in for a worker: runs tasks under leases as PROTOCOL.md says. The spec of a task is its run time in milliseconds.
 * All members are used on the thread of the event loop.
 */
class Upstream : public std::enable_shared_from_this<Upstream>
{
public:
    /** Identity, size and addresses. */
    struct Options
    {
        std::string id;
        std::string zone;
        std::uint16_t ordersPort = 0;
        std::uint16_t announcePort = 0;
        std::int64_t cpuMillis = 64'000;
        std::chrono::milliseconds stopTime{ 40 }; /**< At most `stop-ms`, 50 ms. */
    };

    Upstream(boost::asio::io_context &loop, Options options, Record &record);

    /** Starts to serve and to report itself. */
    void start();

    /** Cuts the upstream off: connections to it are reset and refused, its reports are lost, and it runs on. */
    void cutOff();

    /** Ends the cut. */
    void reconnect();

    /** Cuts the upstream off silently: what is sent to it is lost, its reports are lost, and it runs on. */
    void cutOffSilently();

    /** Crashes and starts again under the same id. It holds and knows nothing of before. */
    void restart();

    /** Decides what becomes of each order; by default it is carried out and answered at once. */
    std::function<OrderFate(OrderKind)> fateOf;

    [[nodiscard]] const std::string &id() const
    {
        return m_options.id;
    }

    [[nodiscard]] std::size_t runs() const
    {
        return m_runs.size();
    }

private:
    struct Run
    {
        std::int64_t number = 0;
        Clock::time_point begun;
        std::chrono::milliseconds work{ 0 };
        std::optional<Clock::time_point> stopsAt;
    };

    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    boost::asio::awaitable<std::optional<Response>> handle(Request request);
    Response carryOut(OrderKind kind, const boost::json::object &body);
    Response begin(const boost::json::object &body);
    Response stop(const boost::json::object &body);
    boost::asio::awaitable<Response> hold(boost::json::object body);
    boost::asio::awaitable<void> keepTime();
    boost::asio::awaitable<void> report();
    void advance();
    void end(const std::string &task, const std::string &how);
    void extendLease(const boost::json::object &body);
    [[nodiscard]] std::int64_t clock() const;
    [[nodiscard]] Response answer(unsigned status, const std::string &reason = "") const;
    [[nodiscard]] Response lists() const;

    boost::asio::io_context &m_loop;
    Options m_options;
    Record &m_record;
    std::unique_ptr<HttpService> m_service;
    Clock::time_point m_begun = Clock::now();
    std::int64_t m_born = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseEnd = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_lastSeen = 0;
    std::uint64_t m_sequence = 0;
    Clock::time_point m_nextReportAt;
    bool m_isCutOff = false;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::int64_t> m_highestOver;
    std::deque<End> m_ends;
};

} // namespace review
