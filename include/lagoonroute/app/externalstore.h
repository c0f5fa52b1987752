#pragma once

#include <lagoonroute/app/externalprotocol.h>
#include <lagoonroute/http/httpclient.h>
#include <lagoonroute/store/storeport.h>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace lagoonroute
{

/** StorePort that uses an external protocol over HTTP, on the event loop of the HTTP client. It does not retry calls. */
template <ExternalProtocol Protocol>
class ExternalStore
{
public:
    /** Timeout for a response; the wait of a watch is added to it. */
    static constexpr Duration responseTimeout = std::chrono::milliseconds(700);
    /** Maximum number of calls in flight; further calls are not sent. */
    static constexpr std::size_t maxOpenCalls = 16;

    /** Creates a port to the store; `onReply` is called when drain() has a reply. */
    ExternalStore(HttpClient &client, NodeAddress server, std::function<void()> onReply)
        : m_client(client)
        , m_server(std::move(server))
        , m_onReply(std::move(onReply))
    {
    }

    /** Sends a call. Returns false without sending it when maxOpenCalls are in flight. */
    bool submit(StoreCall &&call)
    {
        if (m_openCalls >= maxOpenCalls) {
            return false;
        }
        ++m_openCalls;
        const auto *watch = std::get_if<StoreWatch>(&call.operation);
        const Duration timeout = responseTimeout + (watch == nullptr ? Duration(0) : watch->wait);
        m_client.call(m_server, Protocol::storeCall(call.operation), timeout, [this, call](const HttpResult &result) {
            StoreReply reply = Protocol::storeReply(call.operation, result);
            reply.number = call.number;
            --m_openCalls;
            m_replies.push_back(std::move(reply));
            m_onReply();
        });
        return true;
    }

    /** Passes the replies received since the last call to `consume`. */
    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        for (StoreReply &reply : std::exchange(m_replies, {})) {
            consume(std::move(reply));
        }
    }

private:
    HttpClient &m_client;
    NodeAddress m_server;
    std::function<void()> m_onReply;
    std::size_t m_openCalls = 0;
    std::vector<StoreReply> m_replies;
};

} // namespace lagoonroute
