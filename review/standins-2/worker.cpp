#include "worker.h"

#include <boost/json.hpp>

#include <algorithm>

namespace review
{

namespace
{

namespace json = boost::json;
using namespace std::chrono_literals;

/** Longest lease that the worker grants, `hold-max-ms`. */
constexpr std::int64_t longestLease = 1000;
/** Time that a stop takes; the pages allow `stop-ms`, 50. */
constexpr std::int64_t stopTime = 40;

std::int64_t numberOf(const json::object &body, const char *name)
{
    const json::value *value = body.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

} // namespace

std::size_t Starts::add(const Start &start)
{
    const std::lock_guard lock(m_mutex);
    m_starts.push_back(start);
    return m_starts.size() - 1;
}

void Starts::end(std::size_t index, std::int64_t at, const std::string &how)
{
    const std::lock_guard lock(m_mutex);
    m_starts[index].endedAt = at;
    m_starts[index].how = how;
}

std::vector<Start> Starts::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

Worker::Worker(WorkerOptions options, Record &record, Starts &starts)
    : m_options(std::move(options))
    , m_record(record)
    , m_starts(starts)
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_service(std::make_unique<HttpService>(m_options.port, [this](const Request &request) { return serve(request); }))
    , m_ticker([this] { tick(); })
{
}

Worker::~Worker()
{
    m_isStopping = true;
    m_changed.notify_all();
    m_ticker.join();
    m_service.reset();
}

void Worker::drain()
{
    m_isDraining = true;
    m_isReportDue = true;
}

std::int64_t Worker::drainingAcknowledgedAt() const
{
    return m_drainingAcknowledgedAt;
}

std::int64_t Worker::clock() const
{
    const Clock::time_point now = m_isSuspended ? m_suspendedAt : Clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - m_begin - m_suspendedTime).count();
}

void Worker::suspend()
{
    const std::lock_guard lock(m_mutex);
    m_isSuspended = true;
    m_suspendedAt = Clock::now();
    m_record.write(m_options.id + " is suspended");
}

void Worker::resume()
{
    const std::lock_guard lock(m_mutex);
    m_isSuspended = false;
    m_suspendedTime += Clock::now() - m_suspendedAt;
    m_record.write(m_options.id + " goes on, " + std::to_string(m_runs.size()) + " runs, " + std::to_string(m_leaseEnd - clock()) + " ms of lease left");
    m_changed.notify_all();
}

json::object Worker::heartbeat()
{
    const std::lock_guard lock(m_mutex);
    json::object body{ { "service", m_options.service },
                       { "address", "127.0.0.1:" + std::to_string(m_options.port) },
                       { "zone", "zone" },
                       { "version", "v1" },
                       { "slots", 8 },
                       { "state", m_isDraining ? "draining" : "ready" },
                       { "cold-left-ms", 0 },
                       { "capacity", { { "cpu", m_options.cpu }, { "mem-mb", 262'144 }, { "gpu", 0 } } },
                       { "labels", { "a", "r1-1" } },
                       { "clock-ms", clock() },
                       { "born", m_born },
                       { "seq", ++m_sequence } };
    if (m_isDraining) {
        body["remaining-ms"] = 8000;
    }
    return body;
}

void Worker::tick()
{
    Clock::time_point nextReport = Clock::now();
    while (!m_isStopping) {
        bool isSuspended = false;
        {
            const std::lock_guard lock(m_mutex);
            isSuspended = m_isSuspended;
            if (!isSuspended) {
                advance();
            }
        }
        if (isSuspended) {
            std::this_thread::sleep_for(1ms);
            continue;
        }
        carryOutDelayedStarts();
        if (m_isUp && (m_isReportDue.exchange(false) || Clock::now() >= nextReport)) {
            const json::object body = heartbeat();
            const Request report{ "PUT", "/api/instances/" + m_options.id, { { "Content-Type", "application/json" } }, json::serialize(body) };
            const bool isAcknowledged = call(m_options.control, report, 1000ms).status == 200;
            nextReport = Clock::now() + (isAcknowledged ? m_options.heartbeat : 200ms);
            if (isAcknowledged && body.at("state").as_string() == "draining" && m_drainingAcknowledgedAt < 0) {
                m_drainingAcknowledgedAt = m_record.now();
                m_record.write(m_options.id + " says draining, which is acknowledged");
            }
        }
        std::this_thread::sleep_for(2ms);
    }
}

void Worker::endRun(const std::string &task, const std::string &how)
{
    const Run run = m_runs.at(task);
    m_runs.erase(task);
    m_highestRun[task] = std::max(m_highestRun[task], run.number);
    m_ends.push_back(End{ ++m_lastEnd, task, run.number, how });
    m_starts.end(run.index, m_record.now(), how);
    m_record.write(m_options.id + " ends " + task + " run " + std::to_string(run.number) + ": " + how);
    m_changed.notify_all();
}

void Worker::advance()
{
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto &[task, run] : m_runs) {
        if (clock() - run.startedAt >= run.work) {
            over.emplace_back(task, "done");
        } else if (run.stopAt >= 0 && clock() >= run.stopAt) {
            over.emplace_back(task, "stopped");
        } else if (clock() > m_leaseEnd) {
            over.emplace_back(task, "lapsed");
        }
    }
    for (const auto &[task, how] : over) {
        endRun(task, how);
    }
}

Response Worker::refusal(const std::string &reason) const
{
    return { 409, json::serialize(json::object{ { "clock-ms", clock() }, { "reason", reason } }), {} };
}

void Worker::delayStarts(std::chrono::milliseconds least, std::chrono::milliseconds most)
{
    const std::lock_guard lock(m_mutex);
    m_isDelaying = true;
    m_leastDelay = least;
    m_mostDelay = most;
}

void Worker::answerStarts()
{
    const std::lock_guard lock(m_mutex);
    m_isDelaying = false;
}

void Worker::crash()
{
    m_isUp = false;
    m_changed.notify_all();
    m_service.reset();
    const std::lock_guard lock(m_mutex);
    while (!m_runs.empty()) {
        const std::string task = m_runs.begin()->first;
        endRun(task, "crashed");
    }
    m_record.write(m_options.id + " has crashed");
}

void Worker::restart()
{
    {
        const std::lock_guard lock(m_mutex);
        m_begin = Clock::now();
        m_suspendedTime = {};
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_token = 0;
        m_leaseEnd = 0;
        m_lastEnd = 0;
        m_sequence = 0;
        m_highestRun.clear();
        m_ends.clear();
        m_record.write(m_options.id + " has started again");
    }
    m_isUp = true;
    m_isReportDue = true;
    m_service = std::make_unique<HttpService>(m_options.port, [this](const Request &request) { return serve(request); });
}

/** Takes a start order out of the way if it is to be carried out late. */
bool Worker::delayed(const Request &request)
{
    const std::lock_guard lock(m_mutex);
    if (!m_isDelaying || request.target != "/api/run-start") {
        return false;
    }
    m_isNextDelayed = !m_isNextDelayed;
    if (!m_isNextDelayed) {
        return false;
    }
    std::uniform_int_distribution<std::int64_t> delay(m_leastDelay.count(), m_mostDelay.count());
    m_delayedStarts.push_back(DelayedStart{ Clock::now() + std::chrono::milliseconds(delay(m_random)), request });
    m_record.write(m_options.id + " leaves unanswered " + request.body);
    return true;
}

void Worker::carryOutDelayedStarts()
{
    std::vector<Request> due;
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_delayedStarts, [&due](const DelayedStart &start) {
            const bool isDue = Clock::now() >= start.due;
            if (isDue) {
                due.push_back(start.request);
            }
            return isDue;
        });
    }
    for (const Request &request : due) {
        const Response response = m_isUp ? handle(request) : Response();
        m_record.write(m_options.id + " carries out late " + request.body + ": " + std::to_string(response.status) + " " + response.body);
    }
}

Response Worker::serve(const Request &request)
{
    if (delayed(request)) {
        std::this_thread::sleep_for(200ms);
        return {}; // the sender has given up by now
    }
    return handle(request);
}

Response Worker::handle(const Request &request)
{
    const json::object body = json::parse(request.body).as_object();
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_isStopping || !m_isUp || !m_isSuspended; });
    advance();
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != m_options.id) {
        return { 421, "{}", {} };
    }
    const std::int64_t token = numberOf(body, "fencing-token");
    if (token < m_token) {
        return refusal("fence");
    }
    m_token = token;
    if (request.target == "/api/run-start") {
        return start(body);
    }
    if (request.target == "/api/run-stop") {
        return stop(body);
    }
    return hold(body, lock);
}

Response Worker::start(const json::object &body)
{
    const std::string task(body.at("task").as_string());
    const std::int64_t run = numberOf(body, "run");
    const std::int64_t leaseEnd = numberOf(body, "deadline-ms");
    if (leaseEnd < clock()) {
        return refusal("late");
    }
    m_leaseEnd = std::max(m_leaseEnd, std::min(leaseEnd, clock() + longestLease));
    const auto running = m_runs.find(task);
    if (running != m_runs.end() ? running->second.number != run : m_highestRun.count(task) != 0 && run <= m_highestRun[task]) {
        return refusal("old");
    }
    if (running == m_runs.end()) {
        const std::size_t index = m_starts.add(Start{ m_options.id, task, run, m_record.now(), -1, "" });
        m_runs[task] = Run{ run, clock(), std::stoll(std::string(body.at("spec").as_string())), index };
        m_record.write(m_options.id + " starts " + task + " run " + std::to_string(run));
    }
    return { 200, json::serialize(json::object{ { "clock-ms", clock() } }), {} };
}

Response Worker::stop(const json::object &body)
{
    const std::string task(body.at("task").as_string());
    const std::int64_t run = numberOf(body, "run");
    const auto running = m_runs.find(task);
    if (running != m_runs.end() && running->second.number <= run && running->second.stopAt < 0) {
        running->second.stopAt = clock() + stopTime;
    }
    m_highestRun[task] = std::max(m_highestRun[task], run);
    return { 200, json::serialize(json::object{ { "clock-ms", clock() } }), {} };
}

Response Worker::hold(const json::object &body, std::unique_lock<std::mutex> &lock)
{
    const std::int64_t lastSeen = numberOf(body, "last-seen");
    const std::chrono::milliseconds wait(numberOf(body, "wait-ms"));
    m_leaseEnd = std::max(m_leaseEnd, std::min(numberOf(body, "deadline-ms"), clock() + longestLease));
    std::erase_if(m_ends, [lastSeen](const End &end) { return end.number <= lastSeen; });
    if (wait > 0ms) {
        m_changed.wait_for(lock, wait, [this] { return !m_isSuspended && (m_isStopping || !m_isUp || !m_ends.empty()); });
    }
    m_changed.wait(lock, [this] { return m_isStopping || !m_isUp || !m_isSuspended; });
    json::array running;
    for (const auto &[task, run] : m_runs) {
        running.push_back(
            json::array{ task, run.number, "", std::min<std::int64_t>(100, 100 * (clock() - run.startedAt) / std::max<std::int64_t>(1, run.work)), 0 });
    }
    json::array ended;
    for (const End &end : m_ends) {
        ended.push_back(json::array{ end.number, end.task, end.run, end.how, "" });
    }
    return { 200, json::serialize(json::object{ { "clock-ms", clock() }, { "born", m_born }, { "running", running }, { "ended", ended } }), {} };
}

} // namespace review
