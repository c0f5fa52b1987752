#include <lagoonroute/transport/linkendpoint.h>

#include "linkconnection.h"

#include <lagoonroute/network/tcplistener.h>

#include <boost/asio/post.hpp>

#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoonroute
{

class LinkEndpoint::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(boost::asio::io_context &loop, Handlers handlers)
        : m_loop(loop)
        , m_handlers(std::move(handlers))
    {
    }

    void listen(const NodeAddress &address)
    {
        m_listener.emplace(m_loop, address, [this](boost::asio::ip::tcp::socket socket) { add().second->accept(std::move(socket)); });
    }

    LinkId dial(const NodeAddress &address)
    {
        const auto [link, connection] = add();
        connection->dial(address);
        return link;
    }

    void send(LinkId link, const LinkMessage &message)
    {
        const auto found = m_connections.find(link);
        if (found != m_connections.end()) {
            found->second->send(message);
        }
    }

    void close(LinkId link)
    {
        const auto found = m_connections.find(link);
        if (found != m_connections.end()) {
            found->second->close();
            m_connections.erase(found);
        }
    }

    void setBatch(bool isOpen)
    {
        m_isBatchOpen = isOpen;
        if (!isOpen) {
            flush();
        }
    }

    void closeAll()
    {
        m_listener.reset();
        m_unwritten.clear();
        for (auto &[link, connection] : m_connections) {
            connection->close();
        }
        m_connections.clear();
    }

private:
    std::pair<LinkId, std::shared_ptr<LinkConnection>> add()
    {
        const LinkId link = ++m_lastLink;
        const auto connection = std::make_shared<LinkConnection>(m_loop);
        connection->setHandlers(LinkConnection::Handlers{ [this, link] { m_handlers.onOpened(link); },
                                                          [this, link](LinkMessage &&message) { m_handlers.onMessage(link, std::move(message)); },
                                                          [this, link] {
                                                              m_connections.erase(link);
                                                              m_handlers.onClosed(link);
                                                          },
                                                          [this] { m_handlers.onBatchEnd(); },
                                                          [this, link] { handleUnwritten(link); } });
        m_connections[link] = connection;
        return { link, connection };
    }

    void handleUnwritten(LinkId link)
    {
        m_unwritten.push_back(link);
        if (!m_isBatchOpen && !std::exchange(m_isFlushScheduled, true)) {
            boost::asio::post(m_loop, [endpoint = weak_from_this()] {
                if (const auto open = endpoint.lock()) {
                    open->m_isFlushScheduled = false;
                    open->flush();
                }
            });
        }
    }

    void flush()
    {
        for (const LinkId link : std::exchange(m_unwritten, {})) {
            const auto found = m_connections.find(link);
            if (found != m_connections.end()) {
                found->second->flush();
            }
        }
    }

    boost::asio::io_context &m_loop;
    Handlers m_handlers;
    std::vector<LinkId> m_unwritten; // links with bytes to write
    bool m_isFlushScheduled = false;
    bool m_isBatchOpen = false;
    std::optional<TcpListener> m_listener;
    std::unordered_map<LinkId, std::shared_ptr<LinkConnection>> m_connections;
    LinkId m_lastLink = 0;
};

LinkEndpoint::WriteBatch::WriteBatch(LinkEndpoint &endpoint)
    : m_endpoint(endpoint)
{
    m_endpoint.m_implementation->setBatch(true);
}

LinkEndpoint::WriteBatch::~WriteBatch()
{
    m_endpoint.m_implementation->setBatch(false);
}

LinkEndpoint::LinkEndpoint(boost::asio::io_context &loop, const std::optional<NodeAddress> &address, Handlers handlers)
    : m_implementation(std::make_shared<Implementation>(loop, std::move(handlers)))
{
    if (address) {
        m_implementation->listen(*address);
    }
}

LinkEndpoint::~LinkEndpoint()
{
    m_implementation->closeAll();
}

LinkId LinkEndpoint::dial(const NodeAddress &address)
{
    return m_implementation->dial(address);
}

void LinkEndpoint::send(LinkId link, const LinkMessage &message)
{
    m_implementation->send(link, message);
}

void LinkEndpoint::close(LinkId link)
{
    m_implementation->close(link);
}

} // namespace lagoonroute
