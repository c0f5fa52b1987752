#include <lagoonroute/base/outcome.h>

namespace lagoonroute
{

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Complete:
        return "complete";
    case Outcome::Failed:
        return "failed";
    case Outcome::NotRun:
        return "not-run";
    }
    return "unknown";
}

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::UnknownService:
        return "unknown-service";
    case Reason::InvalidRequest:
        return "invalid-request";
    case Reason::MissingKey:
        return "missing-key";
    case Reason::KeyReused:
        return "key-reused";
    case Reason::KeyExpired:
        return "key-expired";
    case Reason::NeverRunnable:
        return "never-runnable";
    case Reason::DeadlineTooShort:
        return "deadline-too-short";
    case Reason::Overloaded:
        return "overloaded";
    case Reason::NoWorker:
        return "no-worker";
    case Reason::NoView:
        return "no-view";
    case Reason::ShuttingDown:
        return "shutting-down";
    case Reason::Cancelled:
        return "cancelled";
    case Reason::UpstreamError:
        return "upstream-error";
    case Reason::UpstreamTimeout:
        return "upstream-timeout";
    case Reason::WorkerLost:
        return "worker-lost";
    case Reason::HomeLost:
        return "home-lost";
    case Reason::UnknownJob:
        return "unknown-job";
    }
    return "unknown";
}

} // namespace lagoonroute
