#pragma once

#include <lagoonroute/direct/linkmessages.h>
#include <lagoonroute/membership/member.h>

#include <functional>
#include <memory>
#include <optional>

namespace boost::asio
{
class io_context;
}

namespace lagoonroute
{

/**
 * The links of one process: bidirectional TCP connections for messages, on an event loop that the caller runs.
 *
 * Messages sent on a link in one iteration of the event loop are written together, or, during a WriteBatch, at its end. After
 * close(), a link delivers no further messages.
 */
class LinkEndpoint
{
public:
    /** Callbacks of the owner; all are called on the thread of the event loop. */
    struct Handlers
    {
        std::function<void(LinkId)> onOpened;
        std::function<void(LinkId, LinkMessage &&)> onMessage;
        std::function<void(LinkId)> onClosed; /**< Also called for a link that could not be opened. Not called after close(). */
        std::function<void()> onBatchEnd; /**< Called after the messages of one read, and after onOpened and onClosed. */
    };

    /**
     * While it exists, messages are not written; its destructor writes those of all links. The owner uses it around an iteration
     * that sends, which saves the event loop another pass. Batches are not nested.
     */
    class WriteBatch
    {
    public:
        explicit WriteBatch(LinkEndpoint &endpoint);
        ~WriteBatch();

        WriteBatch(const WriteBatch &) = delete;
        WriteBatch &operator=(const WriteBatch &) = delete;

    private:
        LinkEndpoint &m_endpoint;
    };

    /** Listens on the address, if one is given. Throws NetworkError if that fails. */
    LinkEndpoint(boost::asio::io_context &loop, const std::optional<NodeAddress> &address, Handlers handlers);
    ~LinkEndpoint();

    LinkEndpoint(const LinkEndpoint &) = delete;
    LinkEndpoint &operator=(const LinkEndpoint &) = delete;

    /** Starts to open a link to the address; onOpened or onClosed reports the result. */
    LinkId dial(const NodeAddress &address);

    /** Queues a message, also while the link is being opened. Does nothing if the link is closed or unknown. */
    void send(LinkId link, const LinkMessage &message);

    /** Closes a link without calling onClosed. */
    void close(LinkId link);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
