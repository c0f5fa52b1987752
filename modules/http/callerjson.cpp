#include "callerjson.h"

#include "submissionkey.h"

#include <lagoonroute/base/errors.h>
#include <lagoonroute/configuration/repeatedfields.h>

#include <boost/json.hpp>

#include <limits>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t maxRunTimeMilliseconds = 24LL * 3600 * 1000;

std::int64_t integerMember(const json::object &object, const char *name, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue)
{
    const json::value *member = object.if_contains(name);
    if (member == nullptr) {
        return defaultValue;
    }
    json::error_code error;
    const auto value = member->to_number<std::int64_t>(error);
    if (error || value < minimum || value > maximum) {
        throw InvalidDocument("member \"" + std::string(name) + "\" must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return value;
}

Resources parseNeed(const json::object &task)
{
    const json::value *member = task.if_contains("need");
    if (member == nullptr) {
        return {};
    }
    if (!member->is_object()) {
        throw InvalidDocument(R"(member "need" must be an object)");
    }
    const json::object &need = member->get_object();
    constexpr std::int64_t max32 = std::numeric_limits<std::uint32_t>::max();
    constexpr std::int64_t max16 = std::numeric_limits<std::uint16_t>::max();
    return Resources{ .cpuMillis = static_cast<std::uint32_t>(integerMember(need, "cpuMillis", 0, max32, 0)),
                      .memoryMegabytes = static_cast<std::uint32_t>(integerMember(need, "memoryMegabytes", 0, max32, 0)),
                      .accelerators = static_cast<std::uint16_t>(integerMember(need, "accelerators", 0, max16, 0)) };
}

TaskSpec parseTask(const json::value &value)
{
    if (!value.is_object()) {
        throw InvalidDocument(R"(each element of "tasks" must be an object)");
    }
    const json::object &object = value.get_object();
    TaskSpec task;
    if (const json::value *body = object.if_contains("body")) {
        task.body = json::serialize(*body);
    }
    task.declaredRunTime = std::chrono::milliseconds(integerMember(object, "runTimeMs", 0, maxRunTimeMilliseconds, 0));
    task.need = parseNeed(object);
    return task;
}

JobRequest parseJob(const json::object &object, const ServiceRules &rules)
{
    const json::value *tasks = object.if_contains("tasks");
    const bool isNonEmptyArray = tasks != nullptr && tasks->is_array() && !tasks->get_array().empty();
    if (!isNonEmptyArray || tasks->get_array().size() > rules.largestTaskCount()) {
        throw InvalidDocument("member \"tasks\" must be an array of 1 to " + std::to_string(rules.largestTaskCount()) + " tasks");
    }
    const auto maxDeadline = std::chrono::floor<std::chrono::milliseconds>(rules.largestDeadline()).count();
    JobRequest job;
    job.timeRemaining = std::chrono::milliseconds(integerMember(object, "deadlineMs", 1, maxDeadline, 0));
    job.idempotent = !rules.isNonIdempotentByDefault();
    if (const json::value *idempotent = object.if_contains("idempotent")) {
        if (!idempotent->is_bool()) {
            throw InvalidDocument(R"(member "idempotent" must be true or false)");
        }
        job.idempotent = idempotent->get_bool();
    }
    job.tasks.reserve(tasks->get_array().size());
    for (const json::value &task : tasks->get_array()) {
        job.tasks.push_back(parseTask(task));
    }
    return job;
}

unsigned httpStatusFor(const JobAnswer &answer)
{
    switch (answer.reason) {
    case Reason::UnknownService:
    case Reason::UnknownJob:
        return 404;
    case Reason::InvalidRequest:
    case Reason::MissingKey:
        return 400;
    case Reason::KeyReused:
        return 422;
    case Reason::KeyExpired:
        return 410;
    case Reason::NeverRunnable:
        return 422;
    case Reason::Overloaded:
        return 429;
    case Reason::Cancelled:
        return 409;
    case Reason::UpstreamTimeout:
    case Reason::DeadlineTooShort:
        return 504;
    case Reason::UpstreamError:
    case Reason::WorkerLost:
    case Reason::HomeLost:
        return 502;
    default:
        return 503;
    }
}

json::value jsonOrText(const std::string &body)
{
    json::error_code error;
    json::value parsed = json::parse(body, error);
    return error ? json::value(body) : parsed;
}

HttpResponse completeResponse(const JobId &job, const JobAnswer &answer)
{
    json::array results;
    for (const TaskResult &result : answer.results) {
        results.push_back({ { "status", result.status }, { "body", jsonOrText(result.body) } });
    }
    const json::object document{ { "outcome", "complete" }, { "job", job.toString() }, { "results", std::move(results) } };
    return HttpResponse{ .status = 200, .body = json::serialize(document) };
}

} // namespace

CallerSubmission parseSubmission(const HttpRequest &request, const ServiceRules &rules)
{
    if (request.body.size() > rules.largestBodyBytes()) {
        throw InvalidDocument("the body is larger than the " + std::to_string(rules.largestBodyBytes()) + " bytes that the service allows");
    }
    json::error_code error;
    const json::value document = json::parse(request.body, error);
    if (error) {
        throw InvalidDocument("the body is not JSON: " + error.message());
    }
    if (!document.is_object()) {
        throw InvalidDocument("the body must be a JSON object");
    }
    // With a repeated member, such as "idempotent", it is ambiguous which of its values the caller meant.
    if (const std::vector<CheckFault> repeated = repeatedFields(request.body); !repeated.empty()) {
        throw InvalidDocument("the body has a repeated member: " + repeated.front().place);
    }
    CallerSubmission submission;
    submission.key = findSubmissionKey(rules.keyRules(), request, document);
    submission.job = parseJob(document.get_object(), rules);
    submission.job.service = rules.name();
    submission.job.caller = callerName(request);
    submission.job.bodyDigest = Digest::of(request.body);
    submission.job.keyTime = submissionKeyTime(submission.key);
    return submission;
}

std::string callerName(const HttpRequest &request)
{
    const std::string caller = fieldValue(request.fields, "Lagoonroute-Caller");
    return caller.empty() ? "anonymous" : caller;
}

HttpResponse jobResponse(const JobId &job, const JobAnswer &answer)
{
    if (answer.outcome == Outcome::Complete) {
        return completeResponse(job, answer);
    }
    const unsigned status = httpStatusFor(answer);
    json::object document{ { "type", "about:blank" },   { "title", toString(answer.reason) },    { "status", status },
                           { "detail", answer.detail }, { "outcome", toString(answer.outcome) }, { "reason", toString(answer.reason) },
                           { "job", job.toString() } };
    if (answer.outcome == Outcome::Failed) {
        document["started"] = json::value_from(answer.started);
    }
    HttpResponse response{ .status = status, .contentType = "application/problem+json" };
    if (answer.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*answer.retryAfter).count();
        response.fields.emplace_back("Retry-After", std::to_string(seconds));
    }
    response.body = json::serialize(document);
    return response;
}

HttpResponse problemResponse(unsigned status, Reason reason, const std::string &detail)
{
    const json::object document{
        { "type", "about:blank" },     { "title", toString(reason) }, { "status", status }, { "detail", detail }, { "outcome", toString(Outcome::NotRun) },
        { "reason", toString(reason) }
    };
    return HttpResponse{ .status = status, .contentType = "application/problem+json", .body = json::serialize(document) };
}

} // namespace lagoonroute
