#include <lagoonroute/http/httpserver.h>

#include "httpsession.h"

#include <lagoonroute/base/errors.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>
#include <utility>

namespace lagoonroute
{

namespace
{

using boost::asio::ip::tcp;

/** Wait before accepting again after the process ran out of descriptors. */
constexpr std::chrono::milliseconds acceptRetry{ 50 };

} // namespace

HttpServer::Options HttpServer::Options::withAddress(NodeAddress listenAddress) const
{
    Options changed = *this;
    changed.address = std::move(listenAddress);
    return changed;
}

HttpServer::Options HttpServer::Options::withMaxBodyBytes(std::size_t bytes) const
{
    Options changed = *this;
    changed.maxBodyBytes = bytes;
    return changed;
}

HttpServer::Options HttpServer::Options::withMaxConnections(std::size_t connections) const
{
    Options changed = *this;
    changed.maxConnections = connections;
    return changed;
}

class HttpServer::Implementation
{
public:
    Implementation(const Options &options, Handler handler)
        : m_options(options)
        , m_handler(std::move(handler))
        , m_work(boost::asio::make_work_guard(m_loop))
        , m_acceptor(m_loop)
        , m_acceptTimer(m_loop)
    {
        listen();
        m_thread = std::thread([this] { m_loop.run(); });
    }

    ~Implementation()
    {
        m_loop.stop();
        m_thread.join();
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] NodeAddress address() const
    {
        return m_address;
    }

    void post(std::function<void()> function)
    {
        boost::asio::post(m_loop, std::move(function));
    }

    void closeAfterResponses()
    {
        m_state.closing = true;
    }

    [[nodiscard]] std::size_t busy() const noexcept
    {
        return m_state.busy;
    }

private:
    void listen()
    {
        try {
            const tcp::endpoint endpoint(boost::asio::ip::make_address(m_options.address.ip), m_options.address.port);
            m_acceptor.open(endpoint.protocol());
            m_acceptor.set_option(tcp::acceptor::reuse_address(true));
            m_acceptor.bind(endpoint);
            m_acceptor.listen();
            m_address = { m_options.address.ip, m_acceptor.local_endpoint().port() };
        } catch (const boost::system::system_error &error) {
            throw NetworkError("cannot listen on " + m_options.address.ip + ":" + std::to_string(m_options.address.port) + ": " + error.what());
        }
        accept();
    }

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (error) {
                acceptLater();
                return;
            }
            startSession(std::move(socket));
            accept();
        });
    }

    void acceptLater()
    {
        m_acceptTimer.expires_after(acceptRetry);
        m_acceptTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                accept();
            }
        });
    }

    void startSession(tcp::socket socket)
    {
        if (m_state.connections < m_options.maxConnections) {
            std::make_shared<HttpSession>(std::move(socket), m_options, m_handler, m_state)->start();
        }
    }

    Options m_options;
    Handler m_handler;
    HttpServerState m_state;
    boost::asio::io_context m_loop{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    NodeAddress m_address;
    std::thread m_thread;
};

HttpServer::HttpServer(const Options &options, Handler handler)
    : m_implementation(std::make_unique<Implementation>(options, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

NodeAddress HttpServer::address() const
{
    return m_implementation->address();
}

void HttpServer::post(std::function<void()> function)
{
    m_implementation->post(std::move(function));
}

void HttpServer::closeAfterResponses()
{
    m_implementation->closeAfterResponses();
}

std::size_t HttpServer::busy() const noexcept
{
    return m_implementation->busy();
}

} // namespace lagoonroute
