#include "linkconnection.h"

#include <lagoonroute/base/errors.h>
#include <lagoonroute/transport/linkcodec.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <utility>

namespace lagoonroute
{

namespace
{

using boost::asio::ip::tcp;

/** Covers a few round trips to a host in any availability zone. A host without power never responds to a connection attempt. */
constexpr std::chrono::milliseconds connectTimeout{ 200 };
/** A link with more unwritten bytes than this is closed, because its peer reads too slowly. */
constexpr std::size_t maxUnwrittenBytes = 16U << 20U;
constexpr std::size_t lengthBytes = sizeof(std::uint32_t);

} // namespace

LinkConnection::LinkConnection(boost::asio::io_context &loop)
    : m_socket(loop)
    , m_connectTimer(loop)
{
}

void LinkConnection::setHandlers(Handlers handlers)
{
    m_handlers = std::move(handlers);
}

void LinkConnection::dial(const NodeAddress &address)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.ip, error);
    if (error) {
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->closeAndNotify(); });
        return;
    }
    m_connectTimer.expires_after(connectTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](const boost::system::error_code &waitError) {
        if (!waitError && !self->m_isOpen) {
            self->closeAndNotify();
        }
    });
    m_socket.async_connect({ ip, address.port }, [self = shared_from_this()](const boost::system::error_code &connectError) {
        if (self->m_isClosed) {
            return;
        }
        self->m_connectTimer.cancel();
        if (connectError) {
            self->closeAndNotify();
            return;
        }
        self->handleOpened();
    });
}

void LinkConnection::accept(tcp::socket socket)
{
    m_socket = std::move(socket);
    handleOpened();
}

void LinkConnection::handleOpened()
{
    m_isOpen = true;
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_handlers.onOpened();
    reportUnwritten();
    read();
    m_handlers.onBatchEnd();
}

void LinkConnection::read()
{
    if (m_isClosed) {
        return;
    }
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer), [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
        if (self->m_isClosed) {
            return;
        }
        if (error) {
            self->closeAndNotify();
            return;
        }
        self->m_received.append(self->m_readBuffer.data(), size);
        self->deliverFrames();
        self->m_handlers.onBatchEnd();
        self->read();
    });
}

void LinkConnection::deliverFrames()
{
    std::size_t position = 0;
    while (!m_isClosed && m_received.size() - position >= lengthBytes) {
        const std::uint32_t size = boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(m_received.data()) + position);
        if (size > maxLinkMessageBytes) {
            closeAndNotify();
            return;
        }
        if (m_received.size() - position - lengthBytes < size) {
            break;
        }
        try {
            LinkMessage message = decodeLinkMessage(std::string_view(m_received).substr(position + lengthBytes, size));
            position += lengthBytes + size;
            m_handlers.onMessage(std::move(message));
        } catch (const MalformedMessage &) {
            closeAndNotify();
            return;
        } catch (...) {
            closeAndNotify(); // the error is logged where the loop is run
            throw;
        }
    }
    m_received.erase(0, position);
}

void LinkConnection::send(const LinkMessage &message)
{
    if (m_isClosed) {
        return;
    }
    const std::string body = encodeLinkMessage(message);
    std::array<unsigned char, lengthBytes> length{};
    boost::endian::store_big_u32(length.data(), static_cast<std::uint32_t>(body.size()));
    m_toWrite.append(reinterpret_cast<const char *>(length.data()), length.size());
    m_toWrite += body;
    reportUnwritten();
}

void LinkConnection::reportUnwritten()
{
    // While a write waits for the socket, its completion writes what was queued meanwhile.
    if (m_isOpen && !m_isClosed && !m_toWrite.empty() && m_writing.empty() && !std::exchange(m_isReported, true)) {
        m_handlers.onUnwritten();
    }
}

void LinkConnection::flush()
{
    m_isReported = false;
    if (m_isClosed || m_toWrite.empty() || !m_writing.empty()) {
        return;
    }
    if (m_toWrite.size() > maxUnwrittenBytes) {
        scheduleClose();
        return;
    }
    // A synchronous write needs no completion handler, and so no further pass of the event loop.
    boost::system::error_code error;
    const std::size_t size = m_socket.write_some(boost::asio::buffer(m_toWrite), error);
    if (error && error != boost::asio::error::would_block) {
        scheduleClose();
        return;
    }
    if (size == m_toWrite.size()) {
        m_toWrite.clear();
        return;
    }
    m_toWrite.erase(0, size);
    writeRest();
}

void LinkConnection::writeRest()
{
    if (m_toWrite.size() > maxUnwrittenBytes) {
        closeAndNotify();
        return;
    }
    m_writing.swap(m_toWrite);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        if (self->m_isClosed) {
            return;
        }
        if (error) {
            self->closeAndNotify();
            return;
        }
        self->m_writing.clear();
        if (!self->m_toWrite.empty()) {
            self->writeRest();
        }
    });
}

/** Closes the connection and calls the handlers in a later pass of the event loop: the caller may be in the midst of a decision. */
void LinkConnection::scheduleClose()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->closeAndNotify(); });
}

void LinkConnection::close()
{
    m_isClosed = true;
    m_connectTimer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void LinkConnection::closeAndNotify()
{
    if (m_isClosed) {
        return;
    }
    close();
    m_handlers.onClosed();
    m_handlers.onBatchEnd();
}

} // namespace lagoonroute
