#include <lagoonroute/app/directloop.h>

#include <lagoonroute/network/containedrun.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

/** Longest time without an iteration, so that a stall can be distinguished from an idle period. */
constexpr Duration maxIterationInterval = 200ms;
/** Shortest suspension that is noticed: the two clocks are read one after the other. */
constexpr Duration shortestSuspension = 1ms;
/** Delay after an unexpected error, so that a recurring error does not occupy the processor. */
constexpr Duration errorDelay = 20ms;
/** Interval between checks of the settings file, which may change without a signal. */
constexpr Duration settingsInterval = 1s;

/** Attributes that change when a file is modified or replaced. */
struct FileVersion
{
    std::int64_t seconds = 0;
    std::int64_t nanoseconds = 0;
    std::int64_t size = 0;
    std::uint64_t inode = 0;

    auto operator<=>(const FileVersion &) const = default;
};

FileVersion fileVersionOf(const std::string &path)
{
    struct stat status = {};
    if (path.empty() || stat(path.c_str(), &status) != 0) {
        return {};
    }
    return { status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size, status.st_ino };
}

} // namespace

class DirectLoop::Implementation
{
public:
    Implementation(std::string settingsPath, Handlers handlers)
        : m_settingsPath(std::move(settingsPath))
        , m_handlers(std::move(handlers))
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_timer(m_context)
        , m_lastActivity(MonotonicClock::nowWithSuspension())
        , m_suspendedTime(m_lastActivity - MonotonicClock::now())
        , m_settingsVersion(fileVersionOf(m_settingsPath))
        , m_nextSettingsCheck(m_lastActivity + settingsInterval)
    {
        awaitSignal();
    }

    boost::asio::io_context &context()
    {
        return m_context;
    }

    void run()
    {
        const auto work = boost::asio::make_work_guard(m_context);
        requestIteration();
        // An iteration that threw has not armed the timer, so the next one is scheduled after a delay.
        runContained(m_context, [this] { armTimer(MonotonicClock::nowWithSuspension() + errorDelay, MonotonicClock::nowWithSuspension()); });
    }

    void finish()
    {
        m_context.stop();
    }

    void requestIteration()
    {
        if (!std::exchange(m_isIterationRequested, true)) {
            boost::asio::post(m_context, [this] { iterate(); });
        }
    }

    Instant beginEvent()
    {
        const Instant now = MonotonicClock::nowWithSuspension();
        noticeSuspension(now);
        const bool hasStalled = now - m_lastActivity > stallThreshold;
        m_lastActivity = now;
        if (hasStalled) {
            m_handlers.onStalled(now);
            requestIteration();
        }
        return now;
    }

private:
    void noticeSuspension(Instant now)
    {
        if (now - m_lastActivity < shortestSuspension) {
            return;
        }
        const Duration suspendedTime = now - MonotonicClock::now();
        const Duration suspension = suspendedTime - m_suspendedTime;
        if (suspension >= shortestSuspension) {
            m_suspendedTime = suspendedTime;
            if (m_handlers.onSuspended) {
                m_handlers.onSuspended(suspension);
            }
        }
    }

    void iterate()
    {
        m_isIterationRequested = false;
        const Instant now = beginEvent();
        if (now >= m_nextSettingsCheck) {
            m_nextSettingsCheck = now + settingsInterval;
            checkSettings(false);
        }
        const std::optional<Instant> wake = m_handlers.onIteration(now);
        armTimer(std::min(wake.value_or(now + maxIterationInterval), now + maxIterationInterval), now);
    }

    void armTimer(Instant due, Instant now)
    {
        if (m_timerDue > now && m_timerDue <= due) {
            return; // the timer fires early enough, and its iteration arms it again
        }
        m_timerDue = std::max(due, now + Duration(1));
        m_timer.expires_after(m_timerDue - now);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                m_timerDue = Instant{};
                iterate();
            }
        });
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            const Instant now = beginEvent();
            if (signal == SIGHUP) {
                checkSettings(true);
            } else {
                m_handlers.onStop(now);
            }
            requestIteration();
            awaitSignal();
        });
    }

    void checkSettings(bool isForced)
    {
        const FileVersion version = fileVersionOf(m_settingsPath);
        if (isForced || version != m_settingsVersion) {
            m_settingsVersion = version;
            m_handlers.onSettingsChanged();
        }
    }

    std::string m_settingsPath;
    Handlers m_handlers;
    boost::asio::io_context m_context{ 1 };
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    Instant m_timerDue;
    Instant m_lastActivity;
    Duration m_suspendedTime; // of the host since it was started, as of the last suspension that was noticed
    bool m_isIterationRequested = false;
    FileVersion m_settingsVersion;
    Instant m_nextSettingsCheck;
};

DirectLoop::DirectLoop(std::string settingsPath, Handlers handlers)
    : m_implementation(std::make_unique<Implementation>(std::move(settingsPath), std::move(handlers)))
{
}

DirectLoop::~DirectLoop() = default;

boost::asio::io_context &DirectLoop::context() noexcept
{
    return m_implementation->context();
}

void DirectLoop::run()
{
    m_implementation->run();
}

void DirectLoop::finish()
{
    m_implementation->finish();
}

void DirectLoop::requestIteration()
{
    m_implementation->requestIteration();
}

Instant DirectLoop::beginEvent()
{
    return m_implementation->beginEvent();
}

} // namespace lagoonroute
