#include "upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace review
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t longestLeaseMillis = 1000; // hold-max-ms
constexpr std::size_t endsInOneAnswer = 500;
constexpr std::chrono::milliseconds reportInterval{ 1500 }; // heartbeat-ms
constexpr std::chrono::milliseconds acknowledgementTime{ 1000 }; // after it, a report counts as lost
constexpr std::chrono::milliseconds reportRetry{ 100 };
constexpr std::chrono::milliseconds tick{ 2 };

std::int64_t numberIn(const json::object &body, const char *name)
{
    const json::value *value = body.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

std::string textIn(const json::object &body, const char *name)
{
    const json::value *value = body.if_contains(name);
    return value == nullptr ? std::string() : std::string(value->as_string());
}

asio::awaitable<void> pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

Upstream::Upstream(asio::io_context &loop, Options options, Record &record)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_record(record)
{
}

void Upstream::start()
{
    m_begun = Clock::now();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    m_service = std::make_unique<HttpService>(m_loop, m_options.ordersPort, [this](Request request) { return handle(std::move(request)); });
    asio::co_spawn(m_loop, keepTime(), asio::detached);
    asio::co_spawn(m_loop, report(), asio::detached);
}

void Upstream::cutOff()
{
    m_isCutOff = true;
    m_service->refuse();
    m_record.line("CUT: " + m_options.id + " is cut off with " + std::to_string(m_runs.size()) + " runs, and runs on");
}

void Upstream::cutOffSilently()
{
    m_isCutOff = true;
    m_service->goSilent();
    m_record.line("CUT: " + m_options.id + " is cut off silently with " + std::to_string(m_runs.size()) + " runs");
}

void Upstream::restart()
{
    while (!m_runs.empty()) {
        const std::string task = m_runs.begin()->first;
        end(task, "crashed");
    }
    m_begun = Clock::now();
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    m_token = 0;
    m_leaseEnd = 0;
    m_lastEnd = 0;
    m_lastSeen = 0;
    m_sequence = 0;
    m_highestOver.clear();
    m_ends.clear();
    m_nextReportAt = Clock::now();
    m_record.line("RESTART: " + m_options.id + " starts again under its id");
}

void Upstream::reconnect()
{
    m_isCutOff = false;
    m_service->accept();
    m_service->speakAgain();
    m_record.line("CUT ENDS: " + m_options.id);
}

std::int64_t Upstream::clock() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_begun).count();
}

Response Upstream::answer(unsigned status, const std::string &reason) const
{
    json::object body{ { "clock-ms", clock() } };
    if (!reason.empty()) {
        body["reason"] = reason;
    }
    return Response{ status, json::serialize(body) };
}

asio::awaitable<std::optional<Response>> Upstream::handle(Request request)
{
    const auto self = shared_from_this();
    const json::object body = json::parse(request.body).as_object();
    const auto expected = request.fields.find("X-Expect-Instance");
    if (expected != request.fields.end() && expected->second != m_options.id) {
        co_return answer(421);
    }
    const OrderKind kind = request.target == "/api/run-start" ? OrderKind::Start : (request.target == "/api/run-stop" ? OrderKind::Stop : OrderKind::Hold);
    const OrderFate fate = fateOf ? fateOf(kind) : OrderFate{};
    if (fate.delay > 0ms) {
        co_await pause(fate.delay);
    }
    std::optional<Response> response;
    if (kind == OrderKind::Hold) {
        response = co_await hold(body);
    } else {
        response = carryOut(kind, body);
    }
    if (!fate.isAnswered) {
        response.reset();
    }
    co_return response;
}

Response Upstream::carryOut(OrderKind kind, const json::object &body)
{
    advance();
    const auto token = static_cast<std::uint64_t>(numberIn(body, "fencing-token"));
    if (token < m_token) {
        return answer(409, "fence");
    }
    m_token = token;
    return kind == OrderKind::Start ? begin(body) : stop(body);
}

void Upstream::extendLease(const json::object &body)
{
    m_leaseEnd = std::max(m_leaseEnd, std::min(numberIn(body, "deadline-ms"), clock() + longestLeaseMillis));
}

Response Upstream::begin(const json::object &body)
{
    const std::string task = textIn(body, "task");
    const std::int64_t run = numberIn(body, "run");
    if (numberIn(body, "deadline-ms") < clock()) {
        return answer(409, "late");
    }
    extendLease(body);
    const auto existing = m_runs.find(task);
    if (existing != m_runs.end() && existing->second.number == run) {
        return answer(200);
    }
    const auto over = m_highestOver.find(task);
    if (existing != m_runs.end() || (over != m_highestOver.end() && run <= over->second)) {
        return answer(409, "old");
    }
    m_runs[task] = Run{ run, Clock::now(), std::chrono::milliseconds(std::stoll(textIn(body, "spec"))), std::nullopt };
    m_record.runStarted(task, run, m_options.id);
    return answer(200);
}

Response Upstream::stop(const json::object &body)
{
    const std::string task = textIn(body, "task");
    const std::int64_t run = numberIn(body, "run");
    m_highestOver[task] = std::max(m_highestOver[task], run);
    const auto existing = m_runs.find(task);
    if (existing != m_runs.end() && existing->second.number <= run && !existing->second.stopsAt) {
        existing->second.stopsAt = Clock::now() + m_options.stopTime;
    }
    return answer(200);
}

asio::awaitable<Response> Upstream::hold(json::object body)
{
    advance();
    const auto token = static_cast<std::uint64_t>(numberIn(body, "fencing-token"));
    if (token < m_token) {
        co_return answer(409, "fence");
    }
    m_token = token;
    extendLease(body);
    m_lastSeen = std::max(m_lastSeen, static_cast<std::uint64_t>(numberIn(body, "last-seen")));
    while (!m_ends.empty() && m_ends.front().number <= m_lastSeen) {
        m_ends.pop_front();
    }
    const auto until = Clock::now() + std::chrono::milliseconds(numberIn(body, "wait-ms"));
    while (m_ends.empty() && Clock::now() < until) {
        co_await pause(tick);
    }
    co_return lists();
}

Response Upstream::lists() const
{
    json::array running;
    for (const auto &[task, run] : m_runs) {
        const auto percent = 100 * (Clock::now() - run.begun) / std::max<Clock::duration>(1ms, run.work);
        running.push_back(json::array{ task, run.number, "", std::min<std::int64_t>(99, percent) });
    }
    json::array ended;
    for (const End &end : m_ends) {
        if (ended.size() < endsInOneAnswer) {
            ended.push_back(json::array{ end.number, end.task, end.run, end.how, "" });
        }
    }
    return Response{ 200, json::serialize(json::object{ { "clock-ms", clock() }, { "born", m_born }, { "running", running }, { "ended", ended } }) };
}

void Upstream::end(const std::string &task, const std::string &how)
{
    const Run run = m_runs.at(task);
    m_runs.erase(task);
    m_highestOver[task] = std::max(m_highestOver[task], run.number);
    m_ends.push_back(End{ ++m_lastEnd, task, run.number, how });
    m_record.runEnded(task, run.number, m_options.id, how);
}

void Upstream::advance()
{
    const auto now = Clock::now();
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto &[task, run] : m_runs) {
        if (run.stopsAt && now >= *run.stopsAt) {
            over.emplace_back(task, "stopped");
        } else if (now - run.begun >= run.work) {
            over.emplace_back(task, "done");
        } else if (clock() > m_leaseEnd) {
            over.emplace_back(task, "lapsed");
        }
    }
    for (const auto &[task, how] : over) {
        end(task, how);
    }
}

asio::awaitable<void> Upstream::keepTime()
{
    while (true) {
        co_await pause(tick);
        advance();
    }
}

asio::awaitable<void> Upstream::report()
{
    while (true) {
        co_await pause(tick);
        if (Clock::now() < m_nextReportAt) {
            continue;
        }
        m_nextReportAt = Clock::now() + acknowledgementTime;
        ++m_sequence;
        if (m_isCutOff) {
            continue;
        }
        const json::object body{ { "service", "booking" },
                                 { "address", "127.0.0.1:" + std::to_string(m_options.ordersPort) },
                                 { "zone", m_options.zone },
                                 { "version", "v1" },
                                 { "slots", 8 },
                                 { "state", "ready" },
                                 { "cold-left-ms", 0 },
                                 { "capacity", { { "cpu", m_options.cpuMillis }, { "mem-mb", 262'144 }, { "gpu", 0 } } },
                                 { "labels", { "a", "r1-1" } },
                                 { "clock-ms", clock() },
                                 { "born", m_born },
                                 { "seq", m_sequence } };
        Request request; // g++ 12 destroys an aggregate that is made within the co_await expression twice
        request.method = "PUT";
        request.target = "/api/instances/" + m_options.id;
        request.body = json::serialize(body);
        const std::optional<Response> response = co_await callService(m_options.announcePort, std::move(request), acknowledgementTime);
        m_nextReportAt = Clock::now() + (response ? reportInterval : reportRetry);
    }
}

} // namespace review
