#pragma once

#include <lagoonroute/configuration/servicerules.h>
#include <lagoonroute/dispatch/job.h>
#include <lagoonroute/http/httpmessage.h>

#include <string>

namespace lagoonroute
{

/** A caller's submission as its request describes it. */
struct CallerSubmission
{
    std::string key; /**< Empty when the request has none. */
    JobRequest job;
};

/**
 * Returns the submission in a caller's request to a service.
 *
 * Throws InvalidDocument, naming the member that is wrong and what is allowed.
 */
CallerSubmission parseSubmission(const HttpRequest &request, const ServiceRules &rules);

/** Returns the name of the caller that sent the request. */
std::string callerOf(const HttpRequest &request);

/** Returns the HTTP response to a job: 200 with the results, or problem details (RFC 9457). */
HttpResponse responseTo(const JobId &job, const JobAnswer &answer);

/** Returns problem details for a request that never became a job. */
HttpResponse problemResponse(unsigned status, Reason reason, const std::string &detail);

} // namespace lagoonroute
