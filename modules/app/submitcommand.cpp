#include "submitcommand.h"

#include "filetext.h"
#include <lagoonroute/app/addresstext.h>

#include <lagoonroute/base/errors.h>
#include <lagoonroute/client/jobclient.h>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <iostream>
#include <string>
#include <vector>

DEFINE_string(entries, "127.0.0.1:7500", "Entries to submit to: IP addresses and ports, separated by commas.");
DEFINE_string(service, "", "Service that runs the job.");
DEFINE_string(job, "-", "File with the job in JSON, as an entry accepts it; \"-\" is standard input.");
DEFINE_string(key, "", "Submission key; without it a time-ordered key is generated.");
DEFINE_string(caller, "anonymous", "Name under which the job is accounted.");

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

constexpr int exitFailed = 3;
constexpr int exitNotRun = 4;

Submission readSubmission()
{
    const std::string text = FLAGS_job == "-" ? readAll(std::cin) : readFile(FLAGS_job);
    try {
        const json::value document = json::parse(text);
        const json::object &object = document.as_object();
        Submission::Builder builder(FLAGS_service);
        builder.withKey(FLAGS_key);
        if (const json::value *idempotent = object.if_contains("idempotent")) {
            builder.withIdempotent(idempotent->as_bool());
        }
        if (const json::value *deadline = object.if_contains("deadlineMs")) {
            builder.withDeadline(std::chrono::milliseconds(deadline->to_number<std::uint32_t>()));
        }
        for (const json::value &task : object.at("tasks").as_array()) {
            const json::value *body = task.as_object().if_contains("body");
            builder.withTask(TaskDescription{ .body = body == nullptr ? "null" : json::serialize(*body) });
        }
        return builder.build();
    } catch (const std::exception &error) {
        throw InvalidDocument(FLAGS_job + ": " + error.what());
    }
}

int print(const JobComplete &complete)
{
    json::array results;
    for (const TaskResult &result : complete.results) {
        results.push_back({ { "status", result.status }, { "body", json::parse(result.body) } });
    }
    std::cout << json::serialize(json::object{ { "outcome", "complete" }, { "results", std::move(results) } }) << "\n";
    return 0;
}

int print(const JobFailed &failed)
{
    const json::object document{
        { "outcome", "failed" }, { "reason", failed.reason }, { "detail", failed.detail }, { "started", json::value_from(failed.started) }
    };
    std::cout << json::serialize(document) << "\n";
    return exitFailed;
}

int print(const JobNotRun &notRun)
{
    std::cout << json::serialize(json::object{ { "outcome", "not-run" }, { "reason", notRun.reason }, { "detail", notRun.detail } }) << "\n";
    return exitNotRun;
}

} // namespace

int runSubmitCommand()
{
    if (FLAGS_service.empty()) {
        throw InvalidDocument("--service is empty: it must name the service that runs the job");
    }
    JobClient::Options options = JobClient::Options().withCaller(FLAGS_caller);
    std::vector<std::string> entries;
    boost::split(entries, FLAGS_entries, boost::is_any_of(","));
    for (const std::string &entry : entries) {
        options = options.withEntry(addressFromText(entry));
    }
    JobClient client(options);
    return std::visit([](const auto &result) { return print(result); }, client.submit(readSubmission()));
}

} // namespace lagoonroute
