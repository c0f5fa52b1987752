#pragma once

#include <lagoonroute/direct/linkmessages.h>
#include <lagoonroute/membership/member.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace lagoonroute
{

/** One link: frames of a length in four bytes, big-endian, and a message. */
class LinkConnection : public std::enable_shared_from_this<LinkConnection>
{
public:
    /** What the owner does with events. */
    struct Handlers
    {
        std::function<void()> onOpened;
        std::function<void(LinkMessage &&)> onMessage;
        std::function<void()> onClosed;
        std::function<void()> onTurnEnd;
    };

    explicit LinkConnection(boost::asio::io_context &loop);

    /** Sets the handlers; to be called before anything else. */
    void setHandlers(Handlers handlers);

    /** Connects to the address. */
    void dial(const NodeAddress &address);

    /** Takes an accepted socket. */
    void accept(boost::asio::ip::tcp::socket socket);

    /** Sends a message at the end of this turn of the loop. */
    void send(const LinkMessage &message);

    /** Closes without calling a handler. */
    void close();

private:
    void opened();
    void read();
    void takeFrames();
    void scheduleWrite();
    void write();
    void lose();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    Handlers m_handlers;
    std::array<char, 16'384> m_chunk{};
    std::string m_received;
    std::string m_toWrite;
    std::string m_writing;
    bool m_isOpen = false;
    bool m_isClosed = false;
    bool m_isWriteScheduled = false;
};

} // namespace lagoonroute
