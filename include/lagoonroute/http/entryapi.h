#pragma once

#include <lagoonroute/base/boundedring.h>
#include <lagoonroute/configuration/servicerules.h>
#include <lagoonroute/dispatch/events.h>
#include <lagoonroute/http/httpserver.h>
#include <lagoonroute/http/operatorpages.h>

#include <memory>
#include <string>
#include <utility>

namespace lagoonroute
{

/**
 * HTTP API for callers: converts requests to events for the entry's core, and the core's answers to responses.
 *
 * `POST /v1/services/{service}/jobs` submits a job, `GET .../jobs/{key}` returns its outcome and
 * `DELETE .../jobs/{key}` cancels it. The header field `Lagoonroute-Caller` holds the caller's name, and
 * `Idempotency-Key` the submission key.
 */
class EntryApi
{
public:
    /** Starts serving. `inboundSignal` is notified of every event; `pages` serves the requests of operators. */
    EntryApi(const HttpServer::Options &options, const OperatorPages &pages, WakeSignal &inboundSignal);
    ~EntryApi();

    EntryApi(const EntryApi &) = delete;
    EntryApi &operator=(const EntryApi &) = delete;

    /** Address at which callers are served. */
    [[nodiscard]] NodeAddress address() const;

    /** Passes the pending events to `consume`. Called only by the decision thread. */
    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        inbound().drain(std::forward<Consumer>(consume));
    }

    /** Adds a service, or replaces its rules, for all later requests. Called only by the decision thread. */
    void setRules(ServiceRules rules);

    /** Removes a service; later submissions to it are refused. Called only by the decision thread. */
    void removeRules(std::string service);

    /** Sends an answer to its caller, unless the caller has closed the connection. Called only by the decision thread. */
    void answer(AnswerCaller answer);

    /** Makes every connection close after its next response. */
    void closeAfterResponses();

    /** Number of requests whose response has not been written yet. */
    [[nodiscard]] std::size_t busy() const noexcept;

private:
    class Implementation;

    BoundedRing<EntryEvent> &inbound();

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
