#pragma once

#include <lagoonroute/membership/member.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace lagoonroute
{

/** Accepts TCP connections on an event loop. After an error, for example no free file descriptor, it retries after a delay. */
class TcpListener
{
public:
    /** Receives an accepted connection, on the thread of the loop. */
    using SocketHandler = std::function<void(boost::asio::ip::tcp::socket)>;

    /** Listens on the address; port 0 selects a free port. Throws NetworkError if that fails. */
    TcpListener(boost::asio::io_context &loop, const NodeAddress &address, SocketHandler onAccepted);

    /** Address on which it listens. */
    [[nodiscard]] const NodeAddress &address() const noexcept
    {
        return m_address;
    }

private:
    void accept();
    void scheduleAccept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    SocketHandler m_onAccepted;
    NodeAddress m_address;
};

} // namespace lagoonroute
