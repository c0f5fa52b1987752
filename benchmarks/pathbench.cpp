#include "harness/deployment.h"
#include "harness/waiting.h"

#include <lagoonroute/http/httpclient.h>

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>

DEFINE_uint32(seconds, 15, "Duration of each load in seconds, from 1 to 20.");
DEFINE_string(json, "", "File to write the results to, as JSON; none when empty.");

using namespace lagoonroute;
using namespace lagoonroute::harness;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t agents = 11;
constexpr std::size_t entries = 3;
constexpr std::uint16_t slots = 8;
constexpr std::uint64_t seed = 5;
constexpr std::size_t tasksOfLargeJob = 8;
constexpr std::size_t jobsPerLargeJob = 10;
constexpr int plainRequestsPerSecond = 20;

/** Random work times of tasks: 97 % take 50 ms to 1 s, 3 % take 2 s to 5 s. */
class WorkTimes
{
public:
    static constexpr double meanSeconds = 0.97 * 0.525 + 0.03 * 3.5;

    std::chrono::milliseconds next()
    {
        const bool isLong = std::bernoulli_distribution(0.03)(m_random);
        return std::chrono::milliseconds(isLong ? std::uniform_int_distribution<int>(2000, 5000)(m_random)
                                                : std::uniform_int_distribution<int>(50, 1000)(m_random));
    }

    Duration interarrivalTime(double arrivalsPerSecond)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution<double>(arrivalsPerSecond)(m_random)));
    }

private:
    std::mt19937_64 m_random{ seed };
};

/** Response times without the work of the task, in milliseconds. */
class AddedTimes
{
public:
    void add(Duration elapsed, std::chrono::milliseconds work)
    {
        m_milliseconds.push_back(std::chrono::duration<double, std::milli>(elapsed - work).count());
    }

    [[nodiscard]] double quantile(double share)
    {
        if (m_milliseconds.empty()) {
            return 0;
        }
        std::sort(m_milliseconds.begin(), m_milliseconds.end());
        return m_milliseconds[static_cast<std::size_t>(share * static_cast<double>(m_milliseconds.size() - 1))];
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_milliseconds.size();
    }

private:
    std::vector<double> m_milliseconds;
};

/** Requests sent to an upstream without lagoonroute during the same run, for comparison. */
class PlainRequests
{
public:
    void send(const NodeAddress &upstream, std::chrono::milliseconds work)
    {
        const boost::json::object body{ { "key", "plain" }, { "task", m_next++ }, { "workMs", work.count() } };
        HttpRequest request{ .method = "POST",
                             .target = "/tasks",
                             .fields = { { "Lagoonroute-Job", "plain" }, { "Lagoonroute-Task", std::to_string(m_next) } },
                             .body = boost::json::serialize(body) };
        ++m_pending;
        m_client.call(upstream, std::move(request), hangLimit, [this, work, sentAt = MonotonicClock::now()](const HttpResult &) {
            m_times.add(MonotonicClock::now() - sentAt, work);
            --m_pending;
        });
    }

    [[nodiscard]] std::size_t pending() const
    {
        return m_pending;
    }

    AddedTimes &wait()
    {
        waitUntil([this] { return m_pending == 0; }, "plain requests");
        return m_times;
    }

private:
    std::uint64_t m_next = 0;
    std::atomic<std::size_t> m_pending = 0;
    AddedTimes m_times;
    HttpClient m_client;
};

double processorSeconds(Deployment &deployment, const char *prefix, std::size_t count)
{
    double sum = 0;
    for (std::size_t index = 0; index < count; ++index) {
        sum += deployment.process(prefix + std::to_string(index)).processorSeconds();
    }
    return sum;
}

/** Runs one load, in percent of the capacity, in an open loop and returns the results. */
boost::json::object measureLoad(int percent)
{
    Deployment deployment(Deployment::Options{ .entries = entries, .agents = agents, .slots = slots, .seed = seed });
    WorkTimes workTimes;
    PlainRequests plain;
    std::map<std::string, std::chrono::milliseconds> longestWork;
    const double tasksPerSecond = percent / 100.0 * static_cast<double>(agents) * slots / WorkTimes::meanSeconds;
    const double tasksPerJob = (jobsPerLargeJob - 1.0 + tasksOfLargeJob) / jobsPerLargeJob;
    const Instant end = MonotonicClock::now() + std::chrono::seconds(std::clamp(FLAGS_seconds, 1U, 20U));
    Instant nextPlain = MonotonicClock::now();
    for (std::size_t number = 0; MonotonicClock::now() < end; ++number) {
        TestJob job;
        job.key = "job-" + std::to_string(number);
        const std::size_t tasks = number % jobsPerLargeJob == 0 ? tasksOfLargeJob : 1;
        for (std::size_t task = 0; task < tasks; ++task) {
            job.work.push_back(workTimes.next());
        }
        longestWork[job.key] = *std::max_element(job.work.begin(), job.work.end());
        deployment.caller().send(job);
        if (MonotonicClock::now() >= nextPlain) {
            plain.send(deployment.upstream(number % agents).address(), 50ms);
            nextPlain += std::chrono::milliseconds(1000 / plainRequestsPerSecond);
        }
        std::this_thread::sleep_for(workTimes.interarrivalTime(tasksPerSecond / tasksPerJob));
    }
    deployment.caller().wait();
    AddedTimes added;
    for (const CallRecord &call : deployment.caller().calls()) {
        if (call.answer && call.answer->outcome == "complete") {
            added.add(*call.endedAt - call.sentAt, longestWork.at(call.key));
        }
    }
    AddedTimes &direct = plain.wait();
    return { { "load", percent },
             { "jobs", longestWork.size() },
             { "complete", added.size() },
             { "p50", added.quantile(0.5) },
             { "p99", added.quantile(0.99) },
             { "p999", added.quantile(0.999) },
             { "plainP50", direct.quantile(0.5) },
             { "plainP99", direct.quantile(0.99) },
             { "ratioP50", added.quantile(0.5) / direct.quantile(0.5) } };
}

/** Runs tasks without work in a closed loop, then plain requests likewise, and returns the throughput of both. */
boost::json::object measureSpeed()
{
    constexpr std::size_t tasks = 50;
    constexpr std::size_t concurrentJobs = 12;
    constexpr std::size_t concurrentPlainRequests = 64;
    constexpr auto length = 5s;
    Deployment deployment(Deployment::Options{ .entries = entries, .agents = agents, .slots = slots, .seed = seed });
    const double entryBefore = processorSeconds(deployment, "entry-", entries);
    const double agentBefore = processorSeconds(deployment, "agent-", agents);
    const Instant start = MonotonicClock::now();
    for (std::size_t number = 0; MonotonicClock::now() < start + length;) {
        if (deployment.caller().pending() < concurrentJobs) {
            deployment.caller().send(TestJob::ofTasks("job-" + std::to_string(number++), tasks, 0ms));
        } else {
            std::this_thread::sleep_for(100us);
        }
    }
    deployment.caller().wait();
    const double seconds = std::chrono::duration<double>(MonotonicClock::now() - start).count();
    const double done = static_cast<double>(deployment.caller().answered("complete") * tasks);
    const double entryUsed = processorSeconds(deployment, "entry-", entries) - entryBefore;
    const double agentUsed = processorSeconds(deployment, "agent-", agents) - agentBefore;

    PlainRequests plain;
    const Instant plainStart = MonotonicClock::now();
    std::size_t sent = 0;
    while (MonotonicClock::now() < plainStart + length) {
        if (plain.pending() < concurrentPlainRequests) {
            plain.send(deployment.upstream(sent++ % agents).address(), 0ms);
        } else {
            std::this_thread::yield();
        }
    }
    plain.wait();
    const double plainRate = static_cast<double>(sent) / std::chrono::duration<double>(MonotonicClock::now() - plainStart).count();
    return { { "tasksPerSecond", done / seconds },
             { "tasksPerEntryCoreSecond", done / entryUsed },
             { "tasksPerAgentCoreSecond", done / agentUsed },
             { "plainRequestsPerSecond", plainRate },
             { "ratioToPlain", done / seconds / plainRate } };
}

void printLoad(const boost::json::object &load)
{
    const auto number = [&load](const char *name) { return load.at(name).to_number<double>(); };
    std::printf("%4.0f %% %6.0f %8.0f %8.2f %8.2f %8.2f %10.2f %10.2f %8.2f\n",
                number("load"),
                number("jobs"),
                number("complete"),
                number("p50"),
                number("p99"),
                number("p999"),
                number("plainP50"),
                number("plainP99"),
                number("ratioP50"));
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Measures the whole path with real processes on loopback: 3 entries, 11 agents with 8 slots each.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::json::array loads;
    std::puts("added response time in ms, beyond the longest task's work");
    std::puts("  load   jobs complete      p50      p99    p99.9  plain p50  plain p99  ratio p50");
    for (const int percent : { 30, 60, 90 }) {
        std::cerr << "load of " << percent << " % for " << FLAGS_seconds << " s ...\n";
        loads.push_back(measureLoad(percent));
        printLoad(loads.back().as_object());
    }
    std::cerr << "speed of the whole path, then of plain requests, 5 s each ...\n";
    const boost::json::object speed = measureSpeed();
    std::puts("\nspeed, jobs of 50 tasks without work");
    for (const auto &figure : speed) {
        std::printf("%-26s %10.2f\n", std::string(figure.key()).c_str(), figure.value().to_number<double>());
    }
    if (!FLAGS_json.empty()) {
        std::ofstream(FLAGS_json) << boost::json::serialize(boost::json::object{ { "loads", loads }, { "speed", speed } }) << "\n";
    }
    return 0;
}
