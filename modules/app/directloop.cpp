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

/** Longest time without a turn, so that a stall can be told from an idle time. */
constexpr Duration longestPause = 200ms;
/** Pause after an unexpected error, so that one that recurs does not take the processor. */
constexpr Duration faultPause = 20ms;
/** How often the settings file is looked at; it may change without a signal. */
constexpr Duration settingsInterval = 1s;

/** What tells one content of a file from the next. */
struct FileMark
{
    std::int64_t seconds = 0;
    std::int64_t nanoseconds = 0;
    std::int64_t size = 0;
    std::uint64_t inode = 0;

    auto operator<=>(const FileMark &) const = default;
};

FileMark markOf(const std::string &path)
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
        , m_lastTurn(MonotonicClock::nowWithSuspension())
        , m_settingsMark(markOf(m_settingsPath))
        , m_nextSettingsLook(m_lastTurn + settingsInterval)
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
        requestTurn();
        // A turn that failed has not set the timer; the next one is due after a pause.
        runContained(m_context, [this] { armTimer(MonotonicClock::nowWithSuspension() + faultPause, MonotonicClock::nowWithSuspension()); });
    }

    void finish()
    {
        m_context.stop();
    }

    void requestTurn()
    {
        if (!std::exchange(m_isTurnRequested, true)) {
            boost::asio::post(m_context, [this] { turn(); });
        }
    }

    Instant enter()
    {
        const Instant now = MonotonicClock::nowWithSuspension();
        const bool hasStalled = now - m_lastTurn > stallTime;
        m_lastTurn = now;
        if (hasStalled) {
            m_handlers.onStalled(now);
            requestTurn();
        }
        return now;
    }

private:
    void turn()
    {
        m_isTurnRequested = false;
        const Instant now = enter();
        if (now >= m_nextSettingsLook) {
            m_nextSettingsLook = now + settingsInterval;
            lookAtSettings(false);
        }
        const std::optional<Instant> wake = m_handlers.onTurn(now);
        armTimer(std::min(wake.value_or(now + longestPause), now + longestPause), now);
    }

    void armTimer(Instant due, Instant now)
    {
        if (m_timerDue > now && m_timerDue <= due) {
            return; // it fires early enough, and the turn then sets it again
        }
        m_timerDue = std::max(due, now + Duration(1));
        m_timer.expires_after(m_timerDue - now);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                m_timerDue = Instant{};
                turn();
            }
        });
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            const Instant now = enter();
            if (signal == SIGHUP) {
                lookAtSettings(true);
            } else {
                m_handlers.onStop(now);
            }
            requestTurn();
            awaitSignal();
        });
    }

    void lookAtSettings(bool isCertain)
    {
        const FileMark mark = markOf(m_settingsPath);
        if (isCertain || mark != m_settingsMark) {
            m_settingsMark = mark;
            m_handlers.onSettingsChanged();
        }
    }

    std::string m_settingsPath;
    Handlers m_handlers;
    boost::asio::io_context m_context{ 1 };
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    Instant m_timerDue;
    Instant m_lastTurn;
    bool m_isTurnRequested = false;
    FileMark m_settingsMark;
    Instant m_nextSettingsLook;
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

void DirectLoop::requestTurn()
{
    m_implementation->requestTurn();
}

Instant DirectLoop::enter()
{
    return m_implementation->enter();
}

} // namespace lagoonroute
