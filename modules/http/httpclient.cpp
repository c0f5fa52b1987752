#include <lagoonroute/http/httpclient.h>

#include "socketpeek.h"

#include <lagoonroute/network/eventloop.h>

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <future>
#include <map>
#include <utility>
#include <vector>

namespace lagoonroute
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

using StreamPointer = std::unique_ptr<beast::tcp_stream>;

constexpr std::size_t maxIdlePerServer = 64;
constexpr std::size_t maxResponseBytes = 16U << 20U;

/** Idle connections, by server address. */
class ConnectionPool
{
public:
    StreamPointer take(const NodeAddress &server)
    {
        auto &idle = m_idle[server];
        while (!idle.empty()) {
            StreamPointer stream = std::move(idle.back());
            idle.pop_back();
            if (peekAtSocket(stream->socket()) == PeekResult::Idle) {
                return stream;
            }
        }
        return nullptr;
    }

    void put(const NodeAddress &server, StreamPointer stream)
    {
        auto &idle = m_idle[server];
        if (idle.size() < maxIdlePerServer) {
            idle.push_back(std::move(stream));
        }
    }

private:
    std::map<NodeAddress, std::vector<StreamPointer>> m_idle;
};

/** State of one call, from its start until its callback has run. */
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
    ClientCall(boost::asio::io_context &loop, ConnectionPool &pool, NodeAddress server, HttpClient::Callback callback)
        : m_loop(loop)
        , m_pool(pool)
        , m_server(std::move(server))
        , m_callback(std::move(callback))
    {
    }

    void start(HttpRequest request, Duration timeout)
    {
        prepare(std::move(request));
        m_deadline = std::chrono::steady_clock::now() + timeout;
        m_stream = m_pool.take(m_server);
        if (m_stream) {
            write();
            return;
        }
        connect();
    }

private:
    void prepare(HttpRequest request)
    {
        m_request.method_string(request.method);
        m_request.target(request.target);
        m_request.version(11);
        m_request.set(http::field::host, m_server.ip);
        for (const auto &[name, value] : request.fields) {
            m_request.set(name, value);
        }
        m_request.body() = std::move(request.body);
        m_request.prepare_payload();
    }

    void connect()
    {
        beast::error_code error;
        const auto ip = boost::asio::ip::make_address(m_server.ip, error);
        if (error) {
            fail(HttpFailure::NotSent);
            return;
        }
        m_stream = std::make_unique<beast::tcp_stream>(m_loop);
        m_stream->expires_at(m_deadline);
        m_stream->async_connect(boost::asio::ip::tcp::endpoint(ip, m_server.port), [self = shared_from_this()](beast::error_code connectError) {
            if (connectError) {
                self->fail(HttpFailure::NotSent, connectError == boost::asio::error::connection_refused);
                return;
            }
            beast::error_code ignored;
            self->m_stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            self->write();
        });
    }

    void write()
    {
        m_stream->expires_at(m_deadline);
        http::async_write(*m_stream, m_request, [self = shared_from_this()](beast::error_code error, std::size_t written) {
            if (error) {
                self->fail(written == 0 ? HttpFailure::NotSent : HttpFailure::Broken);
                return;
            }
            self->read();
        });
    }

    void read()
    {
        m_parser.body_limit(maxResponseBytes);
        http::async_read(*m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (error) {
                self->fail(error == beast::error::timeout ? HttpFailure::TimedOut : HttpFailure::Broken);
                return;
            }
            self->succeed();
        });
    }

    void succeed()
    {
        auto message = m_parser.release();
        HttpResponse response{ .status = message.result_int(),
                               .contentType = std::string(message[http::field::content_type]),
                               .body = std::move(message.body()) };
        for (const auto &field : message) {
            response.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
        if (message.keep_alive()) {
            m_stream->expires_never();
            m_pool.put(m_server, std::move(m_stream));
        }
        m_callback(HttpResult{ .response = std::move(response) });
    }

    void fail(HttpFailure failure, bool isRefused = false)
    {
        m_stream.reset();
        m_callback(HttpResult{ .response = std::nullopt, .failure = failure, .isRefused = isRefused });
    }

    boost::asio::io_context &m_loop;
    ConnectionPool &m_pool;
    NodeAddress m_server;
    HttpClient::Callback m_callback;
    std::chrono::steady_clock::time_point m_deadline;
    StreamPointer m_stream;
    http::request<http::string_body> m_request;
    beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
};

} // namespace

class HttpClient::Implementation
{
public:
    Implementation()
        : m_ownLoop(std::make_unique<EventLoop>())
        , m_loop(m_ownLoop->context())
    {
        m_ownLoop->start();
    }

    explicit Implementation(boost::asio::io_context &loop)
        : m_loop(loop)
    {
    }

    ~Implementation()
    {
        if (m_ownLoop) {
            m_ownLoop->stop();
        }
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    void call(const NodeAddress &server, HttpRequest request, Duration timeout, Callback callback)
    {
        auto newCall = std::make_shared<ClientCall>(m_loop, m_pool, server, std::move(callback));
        if (!m_ownLoop) {
            newCall->start(std::move(request), timeout);
            return;
        }
        boost::asio::post(m_loop, [newCall, request = std::move(request), timeout]() mutable { newCall->start(std::move(request), timeout); });
    }

private:
    std::unique_ptr<EventLoop> m_ownLoop; // null if the owner supplies the event loop
    boost::asio::io_context &m_loop;
    ConnectionPool m_pool;
};

HttpClient::HttpClient()
    : m_implementation(std::make_unique<Implementation>())
{
}

HttpClient::HttpClient(boost::asio::io_context &loop)
    : m_implementation(std::make_unique<Implementation>(loop))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::call(const NodeAddress &server, HttpRequest request, Duration timeout, Callback callback)
{
    m_implementation->call(server, std::move(request), timeout, std::move(callback));
}

HttpResult HttpClient::callAndWait(const NodeAddress &server, HttpRequest request, Duration timeout)
{
    std::promise<HttpResult> promise;
    auto result = promise.get_future();
    call(server, std::move(request), timeout, [&promise](HttpResult finished) { promise.set_value(std::move(finished)); });
    return result.get();
}

} // namespace lagoonroute
