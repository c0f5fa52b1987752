#include "outgoingpeer.h"

#include <boost/asio/write.hpp>

#include <utility>
#include <vector>

namespace lagoonroute
{

namespace
{

constexpr std::size_t maxQueuedBytes = 128U << 20U;
constexpr std::chrono::seconds connectTimeout{ 2 };

} // namespace

OutgoingPeer::OutgoingPeer(boost::asio::io_context &loop, const NodeAddress &address, LostHandler onLost)
    : m_socket(loop)
    , m_connectTimer(loop)
    , m_address(address)
    , m_onLost(std::move(onLost))
{
}

void OutgoingPeer::start()
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(m_address.ip, error);
    if (error) {
        closeAndNotify();
        return;
    }
    m_connectTimer.expires_after(connectTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](const boost::system::error_code &waitError) {
        if (!waitError && !self->m_connected) {
            self->closeAndNotify();
        }
    });
    m_socket.async_connect({ ip, m_address.port }, [self = shared_from_this()](const boost::system::error_code &connectError) {
        if (self->m_closed) {
            return;
        }
        if (connectError) {
            self->closeAndNotify();
            return;
        }
        self->m_connected = true;
        self->m_connectTimer.cancel();
        boost::system::error_code ignored;
        self->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->watchForClose();
        self->writeNext();
    });
}

bool OutgoingPeer::send(std::string frame)
{
    if (m_closed || m_queuedBytes + frame.size() > maxQueuedBytes) {
        return false;
    }
    m_queuedBytes += frame.size();
    m_queue.push_back(std::move(frame));
    if (m_connected && m_writing.empty()) {
        writeNext();
    }
    return true;
}

void OutgoingPeer::close()
{
    m_closed = true;
    m_connectTimer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void OutgoingPeer::writeNext()
{
    if (m_queue.empty()) {
        return;
    }
    m_writing.swap(m_queue);
    std::vector<boost::asio::const_buffer> buffers;
    buffers.reserve(m_writing.size());
    for (const std::string &frame : m_writing) {
        buffers.emplace_back(frame.data(), frame.size());
    }
    boost::asio::async_write(m_socket, buffers, [self = shared_from_this()](const boost::system::error_code &error, std::size_t written) {
        if (self->m_closed) {
            return;
        }
        if (error) {
            self->closeAndNotify();
            return;
        }
        self->m_writing.clear();
        self->m_queuedBytes -= written;
        self->writeNext();
    });
}

void OutgoingPeer::watchForClose()
{
    m_socket.async_read_some(boost::asio::buffer(m_ignored), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        if (self->m_closed) {
            return;
        }
        if (error) {
            self->closeAndNotify();
            return;
        }
        self->watchForClose();
    });
}

void OutgoingPeer::closeAndNotify()
{
    if (m_closed) {
        return;
    }
    close();
    m_onLost();
}

} // namespace lagoonroute
