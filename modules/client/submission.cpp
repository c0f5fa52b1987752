#include <lagoonroute/client/submission.h>

#include <lagoonroute/base/errors.h>
#include <lagoonroute/dispatch/job.h>

#include <boost/json.hpp>

#include <utility>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

json::object documentOf(const TaskDescription &task)
{
    json::object document;
    json::error_code error;
    document["body"] = json::parse(task.body, error);
    if (error) {
        throw InvalidDocument("the body of a task is not valid JSON: " + error.message());
    }
    if (task.expectedRunTime) {
        document["runTimeMs"] = milliseconds(*task.expectedRunTime);
    }
    if (task.need != Resources{}) {
        document["need"]
            = { { "cpuMillis", task.need.cpuMillis }, { "memoryMegabytes", task.need.memoryMegabytes }, { "accelerators", task.need.accelerators } };
    }
    return document;
}

} // namespace

Submission::Builder::Builder(std::string service)
{
    m_submission.m_service = std::move(service);
}

Submission::Builder &Submission::Builder::withKey(std::string key)
{
    m_submission.m_key = std::move(key);
    return *this;
}

Submission::Builder &Submission::Builder::withDeadline(Duration deadline)
{
    m_submission.m_deadline = deadline;
    return *this;
}

Submission::Builder &Submission::Builder::withIdempotent(bool idempotent)
{
    m_idempotent = idempotent;
    return *this;
}

Submission::Builder &Submission::Builder::withTask(TaskDescription task)
{
    m_tasks.push_back(std::move(task));
    return *this;
}

Submission Submission::Builder::build() const
{
    if (m_tasks.empty() || m_tasks.size() > maxTasksPerJob) {
        throw InvalidDocument("a job has 1 to " + std::to_string(maxTasksPerJob) + " tasks, not " + std::to_string(m_tasks.size()));
    }
    json::array tasks;
    for (const TaskDescription &task : m_tasks) {
        tasks.push_back(documentOf(task));
    }
    const json::object document{ { "idempotent", m_idempotent }, { "deadlineMs", milliseconds(m_submission.m_deadline) }, { "tasks", std::move(tasks) } };
    Submission built = m_submission;
    built.m_body = json::serialize(document);
    return built;
}

} // namespace lagoonroute
