#include "jobresponse.h"

#include <boost/json.hpp>

#include <charconv>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

JobComplete parseComplete(const json::object &document)
{
    JobComplete complete;
    for (const json::value &value : document.at("results").as_array()) {
        const json::object &result = value.as_object();
        const json::value &body = result.at("body");
        complete.results.push_back(TaskResult{ result.at("status").to_number<std::uint16_t>(), json::serialize(body) });
    }
    return complete;
}

JobFailed parseFailed(const json::object &document)
{
    JobFailed failed{ .reason = json::value_to<std::string>(document.at("reason")), .detail = json::value_to<std::string>(document.at("detail")) };
    if (const json::value *started = document.if_contains("started")) {
        failed.started = json::value_to<std::vector<TaskIndex>>(*started);
    }
    return failed;
}

JobResult parseOutcome(const json::object &document)
{
    const auto outcome = json::value_to<std::string>(document.at("outcome"));
    if (outcome == toString(Outcome::Complete)) {
        return parseComplete(document);
    }
    if (outcome == toString(Outcome::Failed)) {
        return parseFailed(document);
    }
    return JobNotRun{ json::value_to<std::string>(document.at("reason")), json::value_to<std::string>(document.at("detail")) };
}

} // namespace

JobResponse interpretResponse(const HttpResult &result)
{
    if (!result.response) {
        return JobResponse{ .retryable = true, .mayHaveRun = result.failure != HttpFailure::NotSent };
    }
    try {
        JobResponse response;
        response.result = parseOutcome(json::parse(result.response->body).as_object());
        response.retryable = std::holds_alternative<JobNotRun>(*response.result) && !fieldValue(result.response->fields, "Retry-After").empty();
        return response;
    } catch (const std::exception &) {
        return JobResponse{ .retryable = true, .mayHaveRun = true };
    }
}

Duration retryAfterOf(const HttpResult &result)
{
    if (!result.response) {
        return Duration::zero();
    }
    const std::string text = fieldValue(result.response->fields, "Retry-After");
    unsigned seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace lagoonroute
