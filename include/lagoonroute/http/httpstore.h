#pragma once

#include <lagoonroute/base/boundedring.h>
#include <lagoonroute/http/httpclient.h>
#include <lagoonroute/store/storeport.h>

#include <cstddef>

namespace lagoonroute
{

/**
 * StorePort that reaches the platform's store over HTTP and JSON; docs/design/platform-store.md describes the protocol.
 *
 * A call that gets no usable response is reported as StoreStatus::Unknown. Calls are never retried.
 */
class HttpStore
{
public:
    /** Address of the store, and limits. */
    struct Options
    {
        NodeAddress server;
        Duration timeout = std::chrono::seconds(2); /**< Time limit for a response; the wait time of a watch is added to it. */
        std::size_t maxOpenCalls = 64; /**< Calls beyond this number are not sent. */

        Options withServer(NodeAddress address) const;
        Options withTimeout(Duration responseTimeout) const;
    };

    /** Creates the port. `signal` is notified of every reply. */
    HttpStore(const Options &options, WakeSignal &signal);

    /** Sends a call. Returns false without sending it if maxOpenCalls calls are open. */
    bool submit(StoreCall &&call);

    /** Passes the replies received so far to `consume`. */
    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        m_openCalls -= m_replies.drain(std::forward<Consumer>(consume));
    }

private:
    Options m_options;
    std::size_t m_openCalls = 0;
    BoundedRing<StoreReply> m_replies;
    HttpClient m_client; /**< Declared last: its thread uses the ring and must stop before the ring is destroyed. */
};

static_assert(StorePort<HttpStore>);

} // namespace lagoonroute
