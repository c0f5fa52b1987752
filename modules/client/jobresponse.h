#pragma once

#include <lagoonroute/client/jobresult.h>
#include <lagoonroute/http/httpclient.h>

#include <optional>

namespace lagoonroute
{

/** What a client learns from one HTTP exchange. */
struct JobResponse
{
    std::optional<JobResult> result; /**< Present when the response names an outcome. */
    bool retryable = false; /**< Whether sending again under the same key makes sense. */
    bool mayHaveRun = false; /**< Whether a task may run although there is no outcome. */
};

/** Reads the outcome in a response, or what its absence means. */
JobResponse interpretResponse(const HttpResult &result);

/** Returns the wait that the response asks for in `Retry-After`, or zero. */
Duration retryAfterOf(const HttpResult &result);

} // namespace lagoonroute
