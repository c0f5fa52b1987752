#pragma once

#include <lagoonroute/configuration/servicerules.h>
#include <lagoonroute/dispatch/job.h>
#include <lagoonroute/http/httpmessage.h>

#include <string>

namespace lagoonroute
{

/** Submission parsed from a caller's request. */
struct CallerSubmission
{
    std::string key; /**< Submission key; empty if the request has none. */
    JobRequest job;
};

/**
 * Parses the submission in a caller's request to a service.
 *
 * Throws InvalidDocument with the name of the invalid member and its allowed values.
 */
CallerSubmission parseSubmission(const HttpRequest &request, const ServiceRules &rules);

/** Returns the name of the caller that sent the request, or "anonymous" if the request names none. */
std::string callerName(const HttpRequest &request);

/** Returns the HTTP response for a job: 200 with the results, or problem details (RFC 9457). */
HttpResponse jobResponse(const JobId &job, const JobAnswer &answer);

/** Returns problem details (RFC 9457) for a request that was refused before it became a job. */
HttpResponse problemResponse(unsigned status, Reason reason, const std::string &detail);

} // namespace lagoonroute
