#include <lagoonroute/network/tcplistener.h>

#include <lagoonroute/base/errors.h>

#include <utility>

namespace lagoonroute
{

namespace
{

using boost::asio::ip::tcp;

/** Delay before accepting again after an error, such as the process having no free file descriptor. */
constexpr std::chrono::milliseconds acceptRetryDelay{ 50 };

} // namespace

TcpListener::TcpListener(boost::asio::io_context &loop, const NodeAddress &address, SocketHandler onAccepted)
    : m_acceptor(loop)
    , m_retryTimer(loop)
    , m_onAccepted(std::move(onAccepted))
{
    try {
        const tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip), address.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_address = { address.ip, m_acceptor.local_endpoint().port() };
    } catch (const boost::system::system_error &error) {
        throw NetworkError("cannot listen on " + address.ip + ":" + std::to_string(address.port) + ": " + error.code().message());
    }
    accept();
}

void TcpListener::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            scheduleAccept();
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        m_onAccepted(std::move(socket));
        accept();
    });
}

void TcpListener::scheduleAccept()
{
    m_retryTimer.expires_after(acceptRetryDelay);
    m_retryTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            accept();
        }
    });
}

} // namespace lagoonroute
