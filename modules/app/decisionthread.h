#pragma once

#include <lagoonroute/base/boundedring.h>
#include <lagoonroute/base/time.h>
#include <lagoonroute/base/wakesignal.h>
#include <lagoonroute/dispatch/events.h>
#include <lagoonroute/observation/log.h>

#include <atomic>
#include <concepts>
#include <exception>
#include <thread>
#include <utility>
#include <vector>

namespace lagoonroute
{

/** Decision logic without side effects. Its only inputs are events and the time; its only outputs are actions. */
template <typename Core>
concept DecisionCore = requires(Core core, const Core constCore, const typename Core::Event &event, Instant now, std::vector<typename Core::Action> &actions)
{
    core.handle(event, now, actions);
    {
        constCore.nextWake()
        } -> std::convertible_to<std::optional<Instant>>;
    {
        constCore.isDrained()
        } -> std::convertible_to<bool>;
    {
        constCore.isReady()
        } -> std::convertible_to<bool>;
};

/** Adapters that deliver events to a core and perform its actions. */
template <typename Ports, typename Core>
concept DecisionPorts = requires(Ports ports, typename Core::Action action)
{
    ports.drain([](typename Core::Event &&) {});
    ports.perform(std::move(action));
};

/** Observes the events, actions and state of a core, for logs and metrics. */
template <typename Observer, typename Core>
concept DecisionObserver = requires(Observer observer, const Core &core, const typename Core::Event &event, const typename Core::Action &action, Instant now)
{
    observer.observe(event, now);
    observer.observe(action, now);
    observer.publish(core);
};

/**
 * Thread that runs one core.
 *
 * It waits for events of its ports or for the core's next wake time, whichever comes first.
 */
template <DecisionCore Core, DecisionPorts<Core> Ports, DecisionObserver<Core> Observer>
class DecisionThread
{
public:
    using Event = typename Core::Event;
    using Action = typename Core::Action;

    /** Creates the thread without starting it. All references must outlive it; the ports notify `signal`. */
    DecisionThread(Core &core, Ports &ports, Observer &observer, WakeSignal &signal)
        : m_core(core)
        , m_ports(ports)
        , m_observer(observer)
        , m_signal(signal)
        , m_control(controlCapacity, signal)
    {
    }

    ~DecisionThread()
    {
        stop();
    }

    DecisionThread(const DecisionThread &) = delete;
    DecisionThread &operator=(const DecisionThread &) = delete;

    /** Starts the thread. */
    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    /** Queues an event from the controlling thread. Returns false when the queue is full. */
    bool inject(Event event)
    {
        return m_control.push(std::move(event));
    }

    /** Whether the core has no work left. Callable from any thread. */
    [[nodiscard]] bool isDrained() const noexcept
    {
        return m_drained;
    }

    /** Whether the core is ready to serve. Callable from any thread. */
    [[nodiscard]] bool isReady() const noexcept
    {
        return m_ready;
    }

    /** Stops and joins the thread, even if the core has work left. */
    void stop()
    {
        m_stopping = true;
        m_signal.notify();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    static constexpr std::size_t controlCapacity = 4096;
    static constexpr Duration publishInterval = std::chrono::milliseconds(500);
    static constexpr Duration errorDelay = std::chrono::milliseconds(1);

    void run()
    {
        while (!m_stopping) {
            const auto decide = [this](Event &&event) {
                const Instant now = MonotonicClock::now();
                m_observer.observe(event, now);
                handle(event, now);
                perform(now);
            };
            m_control.drain(decide);
            m_ports.drain(decide);
            const auto wake = m_core.nextWake();
            if (wake && *wake <= MonotonicClock::now()) {
                decide(Core::elapsed());
            }
            publish();
            m_drained = m_core.isDrained();
            m_ready = m_core.isReady();
            m_signal.waitUntil(m_core.nextWake());
        }
    }

    /** Handles an event. An unexpected error is logged and loses only this event; the thread continues. */
    void handle(const Event &event, Instant now)
    {
        try {
            m_core.handle(event, now, m_actions);
        } catch (const std::exception &error) {
            logLine(LogLevel::Error, "event-failed", { { "fault", error.what() } });
            std::this_thread::sleep_for(errorDelay); // an event that recurs at once must not occupy the processor
        }
    }

    /** Passes the core to the observer, at most once per publishInterval. */
    void publish()
    {
        const Instant now = MonotonicClock::now();
        if (now >= m_nextPublish) {
            m_nextPublish = now + publishInterval;
            m_observer.publish(m_core);
        }
    }

    void perform(Instant now)
    {
        for (Action &action : m_actions) {
            m_observer.observe(action, now);
            m_ports.perform(std::move(action));
        }
        m_actions.clear();
    }

    Core &m_core;
    Ports &m_ports;
    Observer &m_observer;
    WakeSignal &m_signal;
    BoundedRing<Event> m_control;
    std::vector<Action> m_actions;
    Instant m_nextPublish;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_drained = false;
    std::atomic<bool> m_ready = false;
    std::thread m_thread;
};

} // namespace lagoonroute
