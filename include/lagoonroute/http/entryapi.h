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
 * HTTP towards callers: turns requests into events for the entry's core, and answers into responses.
 *
 * `POST /v1/services/{service}/jobs` submits, `GET .../jobs/{key}` asks for the outcome, `DELETE .../jobs/{key}`
 * cancels. The caller is named by the field `Lagoonroute-Caller`, the submission key by `Idempotency-Key`.
 */
class EntryApi
{
public:
    /** Starts to serve; `inboundSignal` is notified of every event, `pages` answers operators. */
    EntryApi(const HttpServer::Options &options, const OperatorPages &pages, WakeSignal &inboundSignal);
    ~EntryApi();

    EntryApi(const EntryApi &) = delete;
    EntryApi &operator=(const EntryApi &) = delete;

    /** Address at which callers are served. */
    [[nodiscard]] NodeAddress address() const;

    /** Passes what callers asked for to `consume`. Called by the thread that decides only. */
    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        inbound().drain(std::forward<Consumer>(consume));
    }

    /** Serves a service under these rules from now on. Called by the thread that decides only. */
    void setRules(ServiceRules rules);

    /** Refuses a service from now on. Called by the thread that decides only. */
    void removeRules(std::string service);

    /** Sends an answer to its caller. Called by the thread that decides only. */
    void answer(AnswerCaller answer);

    /** From now on closes each connection after its next response. */
    void closeAfterResponses();

    /** Number of requests whose response is not written yet. */
    [[nodiscard]] std::size_t busy() const noexcept;

private:
    class Implementation;

    BoundedRing<EntryEvent> &inbound();

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
