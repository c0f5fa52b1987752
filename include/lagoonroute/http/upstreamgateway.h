#pragma once

#include <lagoonroute/base/boundedring.h>
#include <lagoonroute/dispatch/events.h>
#include <lagoonroute/http/httpserver.h>
#include <lagoonroute/http/operatorpages.h>

#include <memory>
#include <utility>

namespace lagoonroute
{

/**
 * HTTP between an agent and the upstream beside it: takes its announcements and sends it tasks.
 *
 * The upstream announces itself with `POST /v1/announce` and leaves with `DELETE /v1/announce/{service}`. A task goes
 * to it as `POST` of the service's path, with the fields `Lagoonroute-Job` and `Lagoonroute-Task`; it is stopped by
 * `DELETE` of the same path with the same fields.
 */
class UpstreamGateway
{
public:
    /** Starts to take announcements; `inboundSignal` is notified of every event, `pages` answers operators. */
    UpstreamGateway(const HttpServer::Options &options, const OperatorPages &pages, WakeSignal &inboundSignal);
    ~UpstreamGateway();

    UpstreamGateway(const UpstreamGateway &) = delete;
    UpstreamGateway &operator=(const UpstreamGateway &) = delete;

    /** Address at which announcements are taken. */
    [[nodiscard]] NodeAddress address() const;

    /** Passes announcements and replies to `consume`. Called by the thread that decides only. */
    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        announcements().drain(consume);
        replies().drain(consume);
    }

    /** Sends a task to the upstream. Called by the thread that decides only. */
    void call(CallUpstream call);

    /** Asks the upstream to stop a task. Called by the thread that decides only. */
    void stop(const StopUpstreamTask &task);

private:
    class Implementation;

    BoundedRing<AgentEvent> &announcements();
    BoundedRing<AgentEvent> &replies();

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
