#include "caller.h"

#include "timerthread.h"
#include "waiting.h"

#include <lagoonroute/http/httpclient.h>

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <random>
#include <utility>

namespace lagoonroute::harness
{

namespace json = boost::json;

namespace
{

constexpr const char *jobsPath = "/v1/services/booking/jobs";
constexpr std::chrono::milliseconds retryDelay{ 50 };
constexpr unsigned statusBusy = 429;
constexpr unsigned statusUnavailable = 503;

std::string bodyOf(const TestJob &job)
{
    json::array tasks;
    for (std::size_t index = 0; index < job.work.size(); ++index) {
        json::object task{ { "body", { { "key", job.key }, { "task", index }, { "workMs", job.work[index].count() } } } };
        if (job.declared.count() > 0) {
            task["runTimeMs"] = job.declared.count();
        }
        if (job.declaredMegabytes > 0) {
            task["need"] = { { "memoryMegabytes", job.declaredMegabytes } };
        }
        tasks.push_back(std::move(task));
    }
    json::object document{ { "idempotent", job.idempotent }, { "tasks", std::move(tasks) } };
    if (job.deadline.count() > 0) {
        document["deadlineMs"] = job.deadline.count();
    }
    return json::serialize(document);
}

ReceivedAnswer readAnswer(HttpResponse response)
{
    ReceivedAnswer answer{ .status = response.status, .body = std::move(response.body) };
    json::error_code error;
    const json::value document = json::parse(answer.body, error);
    if (error || !document.is_object()) {
        return answer;
    }
    const json::object &object = document.get_object();
    const auto text = [&object](const char *name) { return object.contains(name) ? json::value_to<std::string>(object.at(name)) : std::string(); };
    answer.outcome = text("outcome");
    answer.reason = text("reason");
    if (const json::value *started = object.if_contains("started")) {
        answer.started = json::value_to<std::vector<std::size_t>>(*started);
    }
    if (const json::value *results = object.if_contains("results")) {
        for (const json::value &result : results->as_array()) {
            const json::object *body = result.at("body").if_object();
            ReceivedResult seen;
            if (body != nullptr && body->contains("number")) {
                seen.key = json::value_to<std::string>(body->at("key"));
                seen.task = body->at("task").to_number<std::size_t>();
                seen.number = body->at("number").to_number<std::uint64_t>();
            }
            answer.results.push_back(std::move(seen));
        }
    }
    return answer;
}

bool mayRetry(const CallRecord &call)
{
    return !call.answer || (call.answer->outcome == "not-run" && (call.answer->status == statusBusy || call.answer->status == statusUnavailable));
}

} // namespace

TestJob TestJob::ofTasks(std::string key, std::size_t tasks, std::chrono::milliseconds work)
{
    TestJob job;
    job.key = std::move(key);
    job.work.assign(tasks, work);
    return job;
}

class Caller::Implementation
{
public:
    Implementation(std::vector<NodeAddress> entries, std::uint64_t seed)
        : m_entries(std::move(entries))
        , m_random(seed)
    {
    }

    void setBalancer(Balancer balancer)
    {
        const std::lock_guard lock(m_mutex);
        m_balancer = std::move(balancer);
    }

    std::size_t randomEntry()
    {
        const std::lock_guard lock(m_mutex);
        if (m_balancer) {
            const std::vector<std::size_t> allowed = m_balancer();
            if (!allowed.empty()) {
                return allowed[m_random() % allowed.size()];
            }
        }
        return m_random() % m_entries.size();
    }

    void send(const TestJob &job, std::size_t entry, bool untilAnswered)
    {
        ++m_pending;
        CallRecord call{ .key = job.key, .tasks = job.work.size(), .idempotent = job.idempotent, .entry = entry, .sentAt = MonotonicClock::now() };
        std::size_t index = 0;
        {
            const std::lock_guard lock(m_mutex);
            index = m_calls.size();
            m_calls.push_back(call);
        }
        // Each request uses its own connection, as behind a load balancer.
        HttpRequest request{ .method = "POST",
                             .target = jobsPath,
                             .fields = { { "Idempotency-Key", job.key }, { "Lagoonroute-Caller", "family" }, { "Connection", "close" } },
                             .body = bodyOf(job) };
        m_client.call(m_entries.at(entry), std::move(request), hangLimit, [this, job, index, untilAnswered](HttpResult result) {
            const CallRecord ended = record(index, std::move(result));
            if (untilAnswered && mayRetry(ended) && !m_stopping) {
                m_timer.after(retryDelay, [this, job] {
                    send(job, randomEntry(), true);
                    --m_pending;
                });
                return;
            }
            --m_pending;
        });
    }

    unsigned cancel(const std::string &key, std::size_t entry)
    {
        HttpRequest request{ .method = "DELETE",
                             .target = std::string(jobsPath) + "/" + key,
                             .fields = { { "Lagoonroute-Caller", "family" }, { "Connection", "close" } } };
        const HttpResult result = m_client.callAndWait(m_entries.at(entry), std::move(request), hangLimit);
        return result.response ? result.response->status : 0;
    }

    void stop()
    {
        m_stopping = true;
        m_timer.stop();
    }

    [[nodiscard]] std::size_t pending() const
    {
        return m_pending;
    }

    [[nodiscard]] std::vector<CallRecord> calls() const
    {
        const std::lock_guard lock(m_mutex);
        return m_calls;
    }

private:
    CallRecord record(std::size_t index, HttpResult result)
    {
        const std::lock_guard lock(m_mutex);
        CallRecord &call = m_calls.at(index);
        call.endedAt = MonotonicClock::now();
        call.isSent = result.response || result.failure != HttpFailure::NotSent;
        if (result.response) {
            call.answer = readAnswer(std::move(*result.response));
        }
        return call;
    }

    std::vector<NodeAddress> m_entries;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    Balancer m_balancer;
    std::vector<CallRecord> m_calls;
    std::atomic<std::size_t> m_pending = 0;
    std::atomic<bool> m_stopping = false;
    HttpClient m_client;
    TimerThread m_timer;
};

Caller::Caller(std::vector<NodeAddress> entries, std::uint64_t seed)
    : m_implementation(std::make_unique<Implementation>(std::move(entries), seed))
{
}

Caller::~Caller()
{
    m_implementation->stop();
}

void Caller::setBalancer(Balancer balancer)
{
    m_implementation->setBalancer(std::move(balancer));
}

void Caller::send(const TestJob &job, std::size_t entry)
{
    m_implementation->send(job, entry, false);
}

void Caller::send(const TestJob &job)
{
    m_implementation->send(job, m_implementation->randomEntry(), false);
}

void Caller::sendUntilAnswered(const TestJob &job)
{
    m_implementation->send(job, m_implementation->randomEntry(), true);
}

unsigned Caller::cancel(const std::string &key, std::size_t entry)
{
    return m_implementation->cancel(key, entry);
}

void Caller::wait()
{
    waitUntil([this] { return pending() == 0; }, "the answers of all requests");
}

std::size_t Caller::pending() const
{
    return m_implementation->pending();
}

std::size_t Caller::answered(const std::string &outcome) const
{
    const std::vector<CallRecord> all = calls();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&outcome](const CallRecord &call) { return call.answer && call.answer->outcome == outcome; }));
}

std::vector<CallRecord> Caller::calls() const
{
    return m_implementation->calls();
}

} // namespace lagoonroute::harness
