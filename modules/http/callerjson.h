#pragma once

#include <lagoonroute/dispatch/job.h>
#include <lagoonroute/http/httpmessage.h>

#include <string>

namespace lagoonroute
{

/**
 * Returns the job in the JSON body of a caller's submission.
 *
 * Service, caller and key are not part of the body and stay empty. Throws InvalidDocument, naming the member that is
 * wrong.
 */
JobRequest parseJobRequest(const std::string &body);

/** Returns the HTTP response to a job: 200 with the results, or problem details (RFC 9457). */
HttpResponse responseTo(const JobId &job, const JobAnswer &answer);

/** Returns problem details for a request that never became a job. */
HttpResponse problemResponse(unsigned status, Reason reason, const std::string &detail);

} // namespace lagoonroute
