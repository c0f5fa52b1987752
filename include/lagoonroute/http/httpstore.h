#pragma once

#include <lagoonroute/base/boundedring.h>
#include <lagoonroute/http/httpclient.h>
#include <lagoonroute/store/storeport.h>

#include <cstddef>

namespace lagoonroute
{

/**
 * StorePort to the platform's store over HTTP and JSON; docs/design/platform-store.md has the protocol.
 *
 * A call without a usable response is answered as Unknown. It repeats nothing.
 */
class HttpStore
{
public:
    /** Where the store is, and limits. */
    struct Options
    {
        NodeAddress server;
        Duration timeout = std::chrono::seconds(2); /**< For a response, beyond the wait of a watch. */
        std::size_t maxOpenCalls = 64; /**< Further calls are not sent. */

        Options withServer(NodeAddress address) const;
        Options withTimeout(Duration responseTimeout) const;
    };

    /** Creates a port; `signal` is notified of every answer. */
    HttpStore(const Options &options, WakeSignal &signal);

    /** Sends a call. Returns false, having sent nothing, when too many are open. */
    bool submit(StoreCall &&call);

    /** Passes the answers that have come to `consume`. */
    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        m_openCalls -= m_replies.drain(std::forward<Consumer>(consume));
    }

private:
    Options m_options;
    std::size_t m_openCalls = 0;
    BoundedRing<StoreReply> m_replies;
    HttpClient m_client; /**< Last, so that its thread ends before the ring does. */
};

static_assert(StorePort<HttpStore>);

} // namespace lagoonroute
