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
 * HTTP between an agent and the upstream on its host: receives the upstream's announcements and sends it tasks.
 *
 * The upstream announces a service with `POST /v1/announce` and withdraws it with `DELETE /v1/announce/{service}`. A
 * task is sent as a `POST` to the service's path, with the header fields `Lagoonroute-Job` and `Lagoonroute-Task`. A
 * `DELETE` to the same path with the same fields stops the task.
 */
class UpstreamGateway
{
public:
    /** Starts serving. `inboundSignal` is notified of every event; `pages` serves the requests of operators. */
    UpstreamGateway(const HttpServer::Options &options, const OperatorPages &pages, WakeSignal &inboundSignal);
    ~UpstreamGateway();

    UpstreamGateway(const UpstreamGateway &) = delete;
    UpstreamGateway &operator=(const UpstreamGateway &) = delete;

    /** Address at which announcements are received. */
    [[nodiscard]] NodeAddress address() const;

    /** Passes the pending announcements and replies to `consume`. Called only by the decision thread. */
    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        announcements().drain(consume);
        replies().drain(consume);
    }

    /** Sends a task to the upstream. Called only by the decision thread. */
    void call(CallUpstream call);

    /** Sends a request to stop a task; its result is ignored. Called only by the decision thread. */
    void stop(const StopUpstreamTask &task);

private:
    class Implementation;

    BoundedRing<AgentEvent> &announcements();
    BoundedRing<AgentEvent> &replies();

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
