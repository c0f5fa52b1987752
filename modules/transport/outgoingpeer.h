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

/** Connection over which frames go to one peer. Lives on the transport's event loop. */
class OutgoingPeer : public std::enable_shared_from_this<OutgoingPeer>
{
public:
    /** Called once, when the connection could not be made or broke. Frames that were queued are lost. */
    using LostHandler = std::function<void()>;

    OutgoingPeer(boost::asio::io_context &loop, const NodeAddress &address, LostHandler onLost);

    /** Starts to connect. */
    void start();

    /** Queues a frame. Returns false when too many bytes wait for a slow peer. */
    bool send(std::string frame);

    /** Closes the connection without a report. */
    void close();

private:
    void writeNext();
    void watchForClose();
    void lose();

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
