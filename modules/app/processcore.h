#pragma once

#include <lagoonroute/control/controlcore.h>
#include <lagoonroute/control/controlevents.h>
#include <lagoonroute/dispatch/events.h>

#include <algorithm>
#include <concepts>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace lagoonroute
{

/**
 * Decision logic of a process: a dispatch core and a ControlCore.
 *
 * Updates from the ControlCore reach the dispatch core within the same step, so that a mirror stops acknowledging an
 * epoch before the proposal of the next one is sent.
 */
template <typename Dispatch, typename DispatchEvent, typename DispatchAction>
class ProcessCore
{
public:
    /** An event for the dispatch core or for the ControlCore. */
    using Event = std::variant<DispatchEvent, ControlEvent>;

    /** An action of the dispatch core or of the ControlCore. */
    using Action = std::variant<DispatchAction, ControlAction>;

    using Actions = std::vector<Action>;

    /** Creates the ControlCore with its options, and the dispatch core with the remaining arguments. */
    template <typename... DispatchArguments>
    explicit ProcessCore(const ControlCore::Options &control, DispatchArguments &&...arguments)
        : m_control(control)
        , m_dispatch(std::forward<DispatchArguments>(arguments)...)
    {
    }

    /** Handles one event and appends the resulting actions. */
    void handle(const Event &event, Instant now, Actions &actions)
    {
        const auto *dispatchEvent = std::get_if<DispatchEvent>(&event);
        if (dispatchEvent == nullptr) {
            tellControl(std::get<ControlEvent>(event), now, actions);
            return;
        }
        tellDispatch(*dispatchEvent, now, actions);
        if (const auto *lost = std::get_if<ConnectionLost>(dispatchEvent)) {
            tellControl(*lost, now, actions);
        } else if (std::holds_alternative<TimeElapsed>(*dispatchEvent)) {
            tellControl(TimeElapsed{}, now, actions);
        }
    }

    /** Passes an event to the dispatch core only. */
    void tellDispatch(const DispatchEvent &event, Instant now, Actions &actions)
    {
        std::vector<DispatchAction> produced;
        m_dispatch.handle(event, now, produced);
        for (DispatchAction &action : produced) {
            actions.emplace_back(std::move(action));
        }
    }

    /** Passes an event to the ControlCore, and the resulting events to the dispatch core. */
    void tellControl(const ControlEvent &event, Instant now, Actions &actions)
    {
        std::vector<ControlAction> produced;
        m_control.handle(event, now, produced);
        for (ControlAction &action : produced) {
            if (const auto update = dispatchEventOf(action)) {
                tellDispatch(*update, now, actions);
            }
            actions.emplace_back(std::move(action));
        }
    }

    /** Returns the event that reports the passage of time. */
    static Event elapsed()
    {
        return Event(DispatchEvent(TimeElapsed{}));
    }

    /** Returns when handle(elapsed()) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const
    {
        const std::optional<Instant> control = m_control.nextWake();
        const std::optional<Instant> dispatch = m_dispatch.nextWake();
        if (control && dispatch) {
            return std::min(*control, *dispatch);
        }
        return control ? control : dispatch;
    }

    /** Whether a planned stop was requested and no work is left. */
    [[nodiscard]] bool isDrained() const
    {
        return m_dispatch.isDrained();
    }

    /** Whether the process has a configuration that allows it to serve. */
    [[nodiscard]] bool isReady() const
    {
        return m_control.isReady();
    }

    /** The ControlCore. */
    [[nodiscard]] const ControlCore &control() const noexcept
    {
        return m_control;
    }

    /** The dispatch core. */
    [[nodiscard]] const Dispatch &dispatch() const noexcept
    {
        return m_dispatch;
    }

private:
    static std::optional<DispatchEvent> dispatchEventOf(const ControlAction &action)
    {
        return std::visit(
            [](const auto &value) -> std::optional<DispatchEvent> {
                if constexpr (std::is_constructible_v<DispatchEvent, decltype(value)>) {
                    return DispatchEvent(value);
                } else {
                    return std::nullopt;
                }
            },
            action);
    }

    ControlCore m_control;
    Dispatch m_dispatch;
};

} // namespace lagoonroute
