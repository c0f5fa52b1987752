#include <lagoonroute/dispatch/job.h>

#include <utility>

namespace lagoonroute
{

JobAnswer JobAnswer::notRun(Reason reason, std::string detail, std::optional<Duration> retryAfter)
{
    return JobAnswer{ .outcome = Outcome::NotRun, .reason = reason, .detail = std::move(detail), .retryAfter = retryAfter };
}

} // namespace lagoonroute
