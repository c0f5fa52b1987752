#pragma once

#include <lagoonroute/membership/member.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace lagoonroute
{

/** Connection that sends frames to one peer. Used only on the event loop of the transport. */
class OutgoingPeer : public std::enable_shared_from_this<OutgoingPeer>
{
public:
    /** Called once, when the connection could not be established or broke. Queued frames are lost. */
    using LostHandler = std::function<void()>;

    OutgoingPeer(boost::asio::io_context &loop, const NodeAddress &address, LostHandler onLost);

    /** Starts to connect. */
    void start();

    /** Queues a frame. Returns false if the connection is closed or too many bytes are queued because the peer reads too slowly. */
    bool send(std::string frame);

    /** Closes the connection without calling the handler. */
    void close();

private:
    void writeNext();
    void watchForClose();
    void closeAndNotify();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    NodeAddress m_address;
    LostHandler m_onLost;
    std::deque<std::string> m_queue;
    std::deque<std::string> m_writing;
    std::size_t m_queuedBytes = 0;
    std::array<char, 64> m_ignored{};
    bool m_connected = false;
    bool m_closed = false;
};

} // namespace lagoonroute
