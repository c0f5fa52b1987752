#pragma once

#include <lagoonroute/membership/member.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace lagoonroute
{

/** Accepts TCP connections on an event loop, and goes on after the process ran out of descriptors. */
class TcpListener
{
public:
    /** Takes an accepted connection, on the loop's thread. */
    using SocketHandler = std::function<void(boost::asio::ip::tcp::socket)>;

    /** Listens at the address; port 0 takes a free one. Throws NetworkError when the address is taken. */
    TcpListener(boost::asio::io_context &loop, const NodeAddress &address, SocketHandler onAccepted);

    /** Address at which it listens. */
    [[nodiscard]] const NodeAddress &address() const noexcept
    {
        return m_address;
    }

private:
    void accept();
    void acceptLater();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    SocketHandler m_onAccepted;
    NodeAddress m_address;
};

} // namespace lagoonroute
