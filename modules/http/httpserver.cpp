#include <lagoonroute/http/httpserver.h>

#include "httpsession.h"

#include <lagoonroute/network/eventloop.h>
#include <lagoonroute/network/tcplistener.h>

#include <boost/asio/post.hpp>

#include <utility>

namespace lagoonroute
{

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
        : m_state(std::make_shared<HttpServerState>())
        , m_ownLoop(std::make_unique<EventLoop>())
        , m_loop(m_ownLoop->context())
        , m_listener(m_loop, options.address, [this](boost::asio::ip::tcp::socket socket) { startSession(std::move(socket)); })
    {
        m_state->options = options;
        m_state->handler = std::move(handler);
        m_ownLoop->start();
    }

    Implementation(boost::asio::io_context &loop, const Options &options, Handler handler)
        : m_state(std::make_shared<HttpServerState>())
        , m_loop(loop)
        , m_listener(m_loop, options.address, [this](boost::asio::ip::tcp::socket socket) { startSession(std::move(socket)); })
    {
        m_state->options = options;
        m_state->handler = std::move(handler);
    }

    ~Implementation()
    {
        if (m_ownLoop) {
            m_ownLoop->stop();
        }
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] NodeAddress address() const
    {
        return m_listener.address();
    }

    void post(std::function<void()> function)
    {
        boost::asio::post(m_loop, std::move(function));
    }

    void closeAfterResponses()
    {
        m_state->closing = true;
    }

    [[nodiscard]] std::size_t busy() const noexcept
    {
        return m_state->busy;
    }

private:
    void startSession(boost::asio::ip::tcp::socket socket)
    {
        if (m_state->connections < m_state->options.maxConnections) {
            std::make_shared<HttpSession>(std::move(socket), m_state)->start();
        }
    }

    std::shared_ptr<HttpServerState> m_state;
    std::unique_ptr<EventLoop> m_ownLoop; // null on a loop of the caller's
    boost::asio::io_context &m_loop;
    TcpListener m_listener;
};

HttpServer::HttpServer(const Options &options, Handler handler)
    : m_implementation(std::make_unique<Implementation>(options, std::move(handler)))
{
}

HttpServer::HttpServer(boost::asio::io_context &loop, const Options &options, Handler handler)
    : m_implementation(std::make_unique<Implementation>(loop, options, std::move(handler)))
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
