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
 * The links of one process: TCP connections that carry messages both ways, on an event loop that the caller runs.
 *
 * What is sent in one turn of the loop leaves in one write. A link that is closed by this side delivers nothing more.
 */
class LinkEndpoint
{
public:
    /** What the owner does with events; all are called on the loop's thread. */
    struct Handlers
    {
        std::function<void(LinkId)> onOpened;
        std::function<void(LinkId, LinkMessage &&)> onMessage;
        std::function<void(LinkId)> onClosed; /**< Also for a link that could not be opened. Not after close(). */
        std::function<void()> onTurnEnd; /**< After the messages of one read. */
    };

    /** Listens at the address, if one is given. Throws NetworkError when it is taken. */
    LinkEndpoint(boost::asio::io_context &loop, const std::optional<NodeAddress> &address, Handlers handlers);
    ~LinkEndpoint();

    LinkEndpoint(const LinkEndpoint &) = delete;
    LinkEndpoint &operator=(const LinkEndpoint &) = delete;

    /** Starts to open a link to the address. */
    LinkId dial(const NodeAddress &address);

    /** Sends a message; without an open link it does nothing. */
    void send(LinkId link, const LinkMessage &message);

    /** Closes a link. */
    void close(LinkId link);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
