#include "http.h"
#include "standins.h"

#include <boost/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>

namespace standins
{

namespace
{

namespace json = boost::json;

constexpr std::int64_t holdMaxMs = 1000; // longest lease
constexpr std::int64_t stopMs = 50; // a stop takes this long
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t tickMs = 2;
/** Longest gap between two ticks that the clock counts; a longer one is a suspension. */
constexpr std::int64_t longestGapMs = 250;

struct Run
{
    std::int64_t number = 0;
    std::int64_t workMs = 0;
    std::int64_t doneMs = 0;
    std::int64_t stopAt = 0; // on the own clock; 0 while no stop was accepted
};

struct End
{
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
};

std::int64_t workOf(const std::string &spec)
{
    const std::size_t begin = spec.find("work=");
    return begin == std::string::npos ? 100 : std::atoll(spec.c_str() + begin + 5);
}

class Worker
{
public:
    explicit Worker(WorkerOptions options)
        : m_options(std::move(options))
        , m_log(m_options.log, std::ios::app)
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
    }

    [[noreturn]] void runClock()
    {
        std::int64_t last = nowMs();
        while (true) {
            sleepUntil(nowMs() + tickMs);
            const std::int64_t now = nowMs();
            const std::int64_t passed = now - last > longestGapMs ? tickMs : now - last;
            last = now;
            const std::lock_guard lock(m_mutex);
            advance(passed);
        }
    }

    [[noreturn]] void sendHeartbeats()
    {
        for (std::int64_t sequence = 1;; ++sequence) {
            json::object body;
            {
                const std::lock_guard lock(m_mutex);
                body = { { "service", m_options.service },
                         { "address", "127.0.0.1:" + std::to_string(m_options.port) },
                         { "zone", m_options.zone },
                         { "version", "v1" },
                         { "slots", 8 },
                         { "state", "ready" },
                         { "cold-left-ms", 0 },
                         { "capacity", { { "cpu", m_options.cpu }, { "mem-mb", 262144 }, { "gpu", 0 } } },
                         { "labels", json::value_from(m_options.labels) },
                         { "clock-ms", m_clock },
                         { "born", m_born },
                         { "seq", sequence } };
            }
            Message beat{ .method = "PUT", .target = "/api/instances/" + m_options.id, .body = json::serialize(body) };
            beat.fields = { { "host", "127.0.0.1" }, { "content-type", "application/json" } };
            const bool isAcknowledged = request(m_options.agentPort, beat, 1000).status == 200;
            sleepUntil(nowMs() + (isAcknowledged ? heartbeatMs : 200));
        }
    }

    Message handle(const Message &message)
    {
        std::unique_lock lock(m_mutex);
        const auto expected = message.fields.find("x-expect-instance");
        if (expected != message.fields.end() && expected->second != m_options.id) {
            return respond(421, {});
        }
        const json::object body = json::parse(message.body).as_object();
        const std::int64_t token = body.contains("fencing-token") ? body.at("fencing-token").to_number<std::int64_t>() : 0;
        if (token < m_token) {
            return refuse("fence");
        }
        m_token = token;
        if (message.target == "/api/run-start") {
            return start(body);
        }
        if (message.target == "/api/run-stop") {
            return stop(body);
        }
        return hold(body, lock);
    }

private:
    Message respond(int status, json::object body) const
    {
        body["clock-ms"] = m_clock;
        return Message{ .status = status, .body = json::serialize(body) };
    }

    Message refuse(const std::string &reason) const
    {
        return respond(409, { { "reason", reason } });
    }

    void note(const std::string &what, const std::string &task, std::int64_t run)
    {
        m_log << nowMs() << ' ' << what << ' ' << task << ' ' << run << std::endl;
    }

    void advance(std::int64_t passed)
    {
        m_clock += passed;
        const bool hasLapsed = m_clock >= m_leaseEnd;
        for (auto entry = m_running.begin(); entry != m_running.end();) {
            const auto current = entry++;
            Run &run = current->second;
            run.doneMs += passed;
            if (hasLapsed) {
                end(current, "lapsed");
            } else if (run.stopAt != 0 && m_clock >= run.stopAt) {
                end(current, "stopped");
            } else if (run.doneMs >= run.workMs && run.stopAt == 0) {
                end(current, "done");
            }
        }
    }

    void end(std::map<std::string, Run>::iterator entry, const std::string &how)
    {
        const auto &[task, run] = *entry;
        note(how, task, run.number);
        m_highest[task] = std::max(m_highest[task], run.number);
        m_ended.push_back(End{ ++m_lastEnd, task, run.number, how });
        m_running.erase(entry);
        m_changed.notify_all();
    }

    void extendLease(const json::object &body)
    {
        if (body.contains("deadline-ms")) {
            m_leaseEnd = std::max(m_leaseEnd, std::min(body.at("deadline-ms").to_number<std::int64_t>(), m_clock + holdMaxMs));
        }
    }

    Message start(const json::object &body)
    {
        const std::string task(body.at("task").as_string());
        const auto number = body.at("run").to_number<std::int64_t>();
        const auto running = m_running.find(task);
        if (running != m_running.end() && running->second.number == number) {
            return respond(200, {});
        }
        if (body.at("deadline-ms").to_number<std::int64_t>() <= m_clock) {
            return refuse("late");
        }
        extendLease(body);
        if (running != m_running.end() || number <= m_highest[task]) {
            return refuse("old");
        }
        m_running[task] = Run{ .number = number, .workMs = workOf(std::string(body.at("spec").as_string())) };
        note("start", task, number);
        return respond(200, {});
    }

    Message stop(const json::object &body)
    {
        const std::string task(body.at("task").as_string());
        const auto number = body.at("run").to_number<std::int64_t>();
        const auto running = m_running.find(task);
        if (running != m_running.end() && running->second.number == number) {
            if (running->second.stopAt == 0) {
                running->second.stopAt = m_clock + stopMs;
            }
        } else {
            m_highest[task] = std::max(m_highest[task], number);
        }
        return respond(200, {});
    }

    Message hold(const json::object &body, std::unique_lock<std::mutex> &lock)
    {
        extendLease(body);
        const std::int64_t seen = body.contains("last-seen") ? body.at("last-seen").to_number<std::int64_t>() : 0;
        const std::int64_t waitMs = body.contains("wait-ms") ? body.at("wait-ms").to_number<std::int64_t>() : 0;
        while (!m_ended.empty() && m_ended.front().number <= seen) {
            m_ended.pop_front();
        }
        m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), [this] { return !m_ended.empty(); });
        json::array running;
        for (const auto &[task, run] : m_running) {
            running.push_back(json::array{ task, run.number, "", std::min<std::int64_t>(99, run.doneMs * 100 / std::max<std::int64_t>(1, run.workMs)), 0 });
        }
        json::array ended;
        for (const End &over : m_ended) {
            ended.push_back(json::array{ over.number, over.task, over.run, over.how, "" });
        }
        return respond(200, { { "born", m_born }, { "running", running }, { "ended", ended } });
    }

    WorkerOptions m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::ofstream m_log;
    std::int64_t m_born;
    std::int64_t m_clock = 0;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_token = 0;
    std::int64_t m_lastEnd = 0;
    std::map<std::string, Run> m_running;
    std::map<std::string, std::int64_t> m_highest; // run number that ended or was stopped last, by task
    std::deque<End> m_ended;
};

} // namespace

void runWorker(const WorkerOptions &options)
{
    static Worker worker(options);
    std::thread([] { worker.runClock(); }).detach();
    std::thread([] { worker.sendHeartbeats(); }).detach();
    serve(options.port, [](const Message &message) { return worker.handle(message); });
}

} // namespace standins
