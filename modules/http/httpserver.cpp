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
        : m_options(options)
        , m_handler(std::move(handler))
        , m_listener(m_loop.context(), options.address, [this](boost::asio::ip::tcp::socket socket) { startSession(std::move(socket)); })
    {
        m_loop.start();
    }

    ~Implementation()
    {
        m_loop.stop();
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] NodeAddress address() const
    {
        return m_listener.address();
    }

    void post(std::function<void()> function)
    {
        boost::asio::post(m_loop.context(), std::move(function));
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
    void startSession(boost::asio::ip::tcp::socket socket)
    {
        if (m_state.connections < m_options.maxConnections) {
            std::make_shared<HttpSession>(std::move(socket), m_options, m_handler, m_state)->start();
        }
    }

    Options m_options;
    Handler m_handler;
    HttpServerState m_state;
    EventLoop m_loop;
    TcpListener m_listener;
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
