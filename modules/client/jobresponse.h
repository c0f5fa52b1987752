#pragma once

#include <lagoonroute/client/jobresult.h>
#include <lagoonroute/http/httpclient.h>

#include <optional>

namespace lagoonroute
{

/** Interpretation of one HTTP exchange. */
struct JobResponse
{
    std::optional<JobResult> result; /**< Present if the response contains an outcome. */
    bool retryable = false; /**< Whether to resend the request with the same submission key. */
    bool mayHaveRun = false; /**< Whether tasks may run, or may have run, although there is no outcome. */
};

/** Parses the outcome in the response. Without a valid one, returns whether to retry and whether tasks may have run. */
JobResponse interpretResponse(const HttpResult &result);

/** Returns the delay in the `Retry-After` field of the response, or zero if there is none. */
Duration retryAfterOf(const HttpResult &result);

} // namespace lagoonroute
