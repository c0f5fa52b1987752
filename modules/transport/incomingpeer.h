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

/** Connection that receives the frames of one peer. Used only on the event loop of the transport. */
class IncomingPeer : public std::enable_shared_from_this<IncomingPeer>
{
public:
    /** Consumes a message. Returns false and leaves the message unchanged if it cannot be queued now. */
    using MessageHandler = std::function<bool(Envelope &)>;

    IncomingPeer(boost::asio::ip::tcp::socket socket, MessageHandler onMessage);

    /** Starts to read. Reading ends when the peer closes the connection; a malformed frame closes the connection. */
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
