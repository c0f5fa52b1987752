#pragma once

#include <lagoonroute/transport/messagecodec.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace lagoonroute
{

/** Connection over which frames of one peer arrive. Lives on the transport's event loop. */
class IncomingPeer : public std::enable_shared_from_this<IncomingPeer>
{
public:
    /** Takes a message; returns false, leaving it as it was, when there is no room for it now. */
    using MessageHandler = std::function<bool(Envelope &)>;

    IncomingPeer(boost::asio::ip::tcp::socket socket, MessageHandler onMessage);

    /** Starts to read. The connection is closed at its end or at the first malformed frame. */
    void start();

    /** Closes the connection. */
    void close();

private:
    void readLength();
    void readBody();
    void deliver();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_retryTimer;
    MessageHandler m_onMessage;
    std::array<unsigned char, 4> m_length{};
    std::string m_body;
    Envelope m_envelope;
};

} // namespace lagoonroute
