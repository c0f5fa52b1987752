#include "incomingpeer.h"

#include <lagoonroute/base/errors.h>

#include <boost/asio/read.hpp>
#include <boost/endian/conversion.hpp>

#include <utility>

namespace lagoonroute
{

namespace
{

/** Delay before a message is delivered again after the inbound ring was full. */
constexpr std::chrono::milliseconds fullRingRetryDelay{ 1 };

} // namespace

IncomingPeer::IncomingPeer(boost::asio::ip::tcp::socket socket, MessageHandler onMessage)
    : m_socket(std::move(socket))
    , m_retryTimer(m_socket.get_executor())
    , m_onMessage(std::move(onMessage))
{
}

void IncomingPeer::start()
{
    readLength();
}

void IncomingPeer::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_retryTimer.cancel();
}

void IncomingPeer::readLength()
{
    boost::asio::async_read(m_socket, boost::asio::buffer(m_length), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        if (!error) {
            self->readBody();
        }
    });
}

void IncomingPeer::readBody()
{
    const std::uint32_t size = boost::endian::load_big_u32(m_length.data());
    if (size > maxMessageBytes) {
        close();
        return;
    }
    m_body.resize(size);
    boost::asio::async_read(m_socket, boost::asio::buffer(m_body), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        if (error) {
            return;
        }
        try {
            self->m_envelope = decodeMessage(self->m_body);
        } catch (const MalformedMessage &) {
            self->close();
            return;
        }
        self->deliver();
    });
}

void IncomingPeer::deliver()
{
    if (m_onMessage(m_envelope)) {
        readLength();
        return;
    }
    m_retryTimer.expires_after(fullRingRetryDelay);
    m_retryTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->deliver();
        }
    });
}

} // namespace lagoonroute
