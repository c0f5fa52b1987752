#include <lagoonroute/http/httpserver.h>

#include "httpsession.h"

#include <lagoonroute/network/eventloop.h>
#include <lagoonroute/network/tcplistener.h>

#include <boost/asio/post.hpp>

#include <optional>
#include <set>
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

HttpServer::Options HttpServer::Options::withMemory(std::shared_ptr<MemoryBudget> budget) const
{
    Options changed = *this;
    changed.memory = std::move(budget);
    return changed;
}

class HttpServer::Implementation
{
public:
    Implementation(const Options &options, Handler handler)
        : m_state(std::make_shared<HttpServerState>())
        , m_ownLoop(std::make_unique<EventLoop>())
        , m_loop(m_ownLoop->context())
    {
        listen(options.address);
        m_state->options = options;
        m_state->handler = std::move(handler);
        m_ownLoop->start();
    }

    Implementation(boost::asio::io_context &loop, const Options &options, Handler handler)
        : m_state(std::make_shared<HttpServerState>())
        , m_loop(loop)
    {
        listen(options.address);
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
        return m_address;
    }

    void post(std::function<void()> function)
    {
        boost::asio::post(m_loop, std::move(function));
    }

    void closeIdle()
    {
        m_listener.reset();
        m_state->closeAfterResponse = true;
        const std::set<HttpSession *> sessions = m_state->sessions;
        for (HttpSession *session : sessions) {
            session->closeIfIdle();
        }
    }

    void closeAfterResponses()
    {
        m_state->closeAfterResponse = true;
    }

    [[nodiscard]] std::size_t busy() const noexcept
    {
        return m_state->pendingRequests;
    }

    [[nodiscard]] const HttpServerState &state() const noexcept
    {
        return *m_state;
    }

private:
    void listen(const NodeAddress &address)
    {
        m_listener.emplace(m_loop, address, [this](boost::asio::ip::tcp::socket socket) { startSession(std::move(socket)); });
        m_address = m_listener->address();
    }

    void startSession(boost::asio::ip::tcp::socket socket)
    {
        if (m_state->connections >= m_state->options.maxConnections) {
            HttpSession *oldest = m_state->evictable.oldest();
            m_state->recordClosure(oldest != nullptr ? "evicted" : "no-connection");
            if (oldest == nullptr) {
                return;
            }
            oldest->close();
        }
        std::make_shared<HttpSession>(std::move(socket), m_state)->start();
    }

    std::shared_ptr<HttpServerState> m_state;
    std::unique_ptr<EventLoop> m_ownLoop; // null if the owner supplies the event loop
    boost::asio::io_context &m_loop;
    std::optional<TcpListener> m_listener;
    NodeAddress m_address;
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

void HttpServer::closeIdle()
{
    m_implementation->closeIdle();
}

void HttpServer::closeAfterResponses()
{
    m_implementation->closeAfterResponses();
}

std::size_t HttpServer::busy() const noexcept
{
    return m_implementation->busy();
}

std::size_t HttpServer::connections() const noexcept
{
    return m_implementation->state().connections;
}

const std::map<std::string, std::uint64_t> &HttpServer::closures() const noexcept
{
    return m_implementation->state().closures.totals();
}

} // namespace lagoonroute
