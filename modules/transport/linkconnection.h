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

/** One link. Each frame is the length of the message in four bytes, big-endian, followed by the message. */
class LinkConnection : public std::enable_shared_from_this<LinkConnection>
{
public:
    /** Callbacks of the owner. */
    struct Handlers
    {
        std::function<void()> onOpened;
        std::function<void(LinkMessage &&)> onMessage;
        std::function<void()> onClosed;
        std::function<void()> onBatchEnd;
        std::function<void()> onUnwritten; /**< There are bytes to write, and the link was not reported since flush(). */
    };

    explicit LinkConnection(boost::asio::io_context &loop);

    /** Sets the handlers. Must be called before any other function. */
    void setHandlers(Handlers handlers);

    /** Connects to the address. */
    void dial(const NodeAddress &address);

    /** Uses an accepted socket as the connection. */
    void accept(boost::asio::ip::tcp::socket socket);

    /** Queues a message, to be written by flush(). */
    void send(const LinkMessage &message);

    /** Writes what is queued, as far as the socket takes it at once, and the rest as soon as it does. Calls no handler. */
    void flush();

    /** Closes the connection without calling a handler. */
    void close();

private:
    void handleOpened();
    void read();
    void deliverFrames();
    void reportUnwritten();
    void writeRest();
    void scheduleClose();
    void closeAndNotify();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    Handlers m_handlers;
    std::array<char, 16'384> m_readBuffer{};
    std::string m_received;
    std::string m_toWrite;
    std::string m_writing;
    bool m_isOpen = false;
    bool m_isClosed = false;
    bool m_isReported = false; // as unwritten
};

} // namespace lagoonroute
