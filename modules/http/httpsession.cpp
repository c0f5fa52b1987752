#include "httpsession.h"

#include "socketpeek.h"

#include <lagoonroute/observation/log.h>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace lagoonroute
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr std::size_t smallestRead = 512;

} // namespace

/** Exchange that owns a reference to its session until the response is sent or the connection is closed. */
class HttpSession::Exchange : public HttpExchange
{
public:
    Exchange(std::shared_ptr<HttpSession> session, HttpRequest request, MemoryReservation memory)
        : m_session(std::move(session))
        , m_request(std::move(request))
        , m_memory(std::move(memory))
    {
    }

    [[nodiscard]] const HttpRequest &request() const override
    {
        return m_request;
    }

    void respond(HttpResponse response) override
    {
        if (const auto session = std::exchange(m_session, nullptr)) {
            session->write(std::move(response));
        }
    }

    [[nodiscard]] bool isClientConnected() override
    {
        return m_session && m_session->isClientConnected();
    }

    void watchForClose(std::function<void()> onClosed) override
    {
        m_onClosed = std::move(onClosed);
        if (m_session) {
            m_session->watchForClose();
        }
    }

    std::string takeBody() override
    {
        m_memory.take(m_memory.bytes() - std::min(m_memory.bytes(), m_request.body.capacity()));
        return std::exchange(m_request.body, {});
    }

    void closed()
    {
        m_session = nullptr;
        if (const auto onClosed = std::exchange(m_onClosed, nullptr)) {
            onClosed();
        }
    }

private:
    std::shared_ptr<HttpSession> m_session;
    HttpRequest m_request;
    MemoryReservation m_memory;
    std::function<void()> m_onClosed;
};

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> state)
    : m_stream(std::move(socket))
    , m_state(std::move(state))
    , m_buffer(m_state->options.maxHeaderBytes + smallestRead)
    , m_memory(m_state->options.memory)
{
    ++m_state->connections;
    m_state->sessions.insert(this);
}

HttpSession::~HttpSession()
{
    close();
    m_state->sessions.erase(this);
}

void HttpSession::start()
{
    beast::error_code ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    readRequest();
}

void HttpSession::closeIfIdle()
{
    const bool isReading = m_parser && (m_parser->got_some() || m_buffer.size() > 0);
    beast::error_code error;
    const bool hasUnread = m_stream.socket().is_open() && m_stream.socket().available(error) > 0;
    if (!m_isBusy && !isReading && !hasUnread) {
        close();
    }
}

void HttpSession::readRequest()
{
    if (m_buffer.size() == 0) {
        m_buffer = beast::flat_buffer(m_buffer.max_size()); // an idle connection keeps no buffer of an earlier large request
    }
    m_memory.take(m_buffer.capacity());
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_state->options.maxHeaderBytes + 1)); // the parser refuses a header that reaches its limit
    m_parser->body_limit(m_state->options.maxBodyBytes);
    m_headerBytes = 0;
    m_hasBegun = false;
    m_state->evictable.pushBack(*this);
    m_stream.expires_after(m_state->options.idleTimeout);
    if (m_buffer.size() > 0) {
        parse();
    } else {
        read();
    }
}

void HttpSession::read()
{
    const std::size_t size = std::min(readSize(), m_buffer.max_size() - m_buffer.size());
    if (size == 0) {
        refuse(http::error::header_limit);
        return;
    }
    m_stream.async_read_some(m_buffer.prepare(size), [self = shared_from_this()](beast::error_code error, std::size_t bytes) {
        if (self->m_isClosed) {
            return;
        }
        if (error) {
            self->refuse(error);
            return;
        }
        self->m_buffer.commit(bytes);
        self->parse();
    });
}

/** Returns how much to read: the rest of the body where its length is known, otherwise what the buffer has room for. */
std::size_t HttpSession::readSize() const
{
    const std::size_t room = std::max(smallestRead, m_buffer.capacity() - m_buffer.size());
    if (!m_parser->is_header_done()) {
        return room;
    }
    const auto rest = m_parser->content_length_remaining();
    return rest ? static_cast<std::size_t>(std::max<std::uint64_t>(*rest, 1)) : room;
}

void HttpSession::parse()
{
    if (!std::exchange(m_hasBegun, true)) {
        m_state->evictable.pushBack(*this);
        m_stream.expires_after(m_state->options.headerTimeout);
    }
    beast::error_code error;
    while (!error && m_buffer.size() > 0 && !m_parser->is_done()) {
        const bool isHeader = !m_parser->is_header_done();
        const std::size_t used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (isHeader) {
            m_headerBytes += used;
            const bool isTooLong = m_headerBytes + (m_parser->is_header_done() ? 0 : m_buffer.size()) > m_state->options.maxHeaderBytes;
            if (isTooLong && (!error || error == http::error::need_more)) {
                error = http::error::header_limit;
            }
            if (!error && m_parser->is_header_done()) {
                beginBody();
            }
        }
    }
    if (error && error != http::error::need_more) {
        refuse(error);
    } else if (!reserveMemory()) {
        refuse("no-memory",
               HttpResponse{ .status = 503,
                             .fields = { { "Retry-After", "1" } },
                             .body = R"({"title":"no memory for the request","status":503,"outcome":"not-run","reason":"overloaded"})" });
    } else if (m_parser->is_done()) {
        handleRequest();
    } else {
        read();
    }
}

void HttpSession::beginBody()
{
    m_parser->eager(true);
    m_stream.expires_after(m_state->options.requestTimeout);
}

/** Reserves memory for what has been read. A request takes it, if need be, from the longest incomplete ones that hold more. */
bool HttpSession::reserveMemory()
{
    const std::size_t needed = m_headerBytes + m_buffer.capacity() + m_parser->get().body().capacity();
    while (!m_memory.resize(needed)) {
        HttpSession *other = m_state->evictable.oldest([needed](const HttpSession &session) { return session.m_memory.bytes() > needed; });
        if (other == nullptr) {
            return false;
        }
        m_state->recordClosure("evicted-for-memory");
        other->close();
    }
    return true;
}

void HttpSession::handleRequest()
{
    m_stream.expires_never();
    m_state->evictable.remove(*this);
    auto message = m_parser->release();
    HttpRequest request{ .method = std::string(message.method_string()), .target = std::string(message.target()), .body = std::move(message.body()) };
    for (const auto &field : message) {
        request.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    m_response = {};
    m_response.version(message.version());
    m_response.keep_alive(message.keep_alive());
    m_isAnswered = false;
    m_isBusy = true;
    ++m_state->pendingRequests;
    MemoryReservation memory(m_state->options.memory);
    const std::size_t requestBytes = m_memory.bytes() - std::min(m_memory.bytes(), m_buffer.capacity());
    m_memory.take(m_memory.bytes() - requestBytes);
    memory.take(requestBytes);
    const auto exchange = std::make_shared<Exchange>(shared_from_this(), std::move(request), std::move(memory));
    m_exchange = exchange;
    try {
        m_state->handler(exchange);
    } catch (const std::exception &error) {
        logLine(LogLevel::Error, "request-failed", { { "target", exchange->request().target }, { "fault", error.what() } });
        exchange->respond(HttpResponse{ .status = 500, .body = R"({"title":"internal error","status":500})" });
    }
}

void HttpSession::refuse(beast::error_code error)
{
    if (error == http::error::body_limit) {
        refuse("body-too-large",
               HttpResponse{ .status = 413, .body = R"({"title":"the body is too large","status":413,"outcome":"not-run","reason":"invalid-request"})" });
    } else if (error == http::error::header_limit) {
        refuse("header-too-large",
               HttpResponse{ .status = 431, .body = R"({"title":"the header is too large","status":431,"outcome":"not-run","reason":"invalid-request"})" });
    } else if (error.category() == http::make_error_code(http::error::bad_method).category()) {
        refuse("malformed",
               HttpResponse{ .status = 400, .body = R"({"title":"the request is not HTTP","status":400,"outcome":"not-run","reason":"invalid-request"})" });
    } else {
        if (error == beast::error::timeout && m_hasBegun) {
            m_state->recordClosure(m_parser->is_header_done() ? "body-timeout" : "header-timeout");
        }
        close();
    }
}

/** Answers a request that has not been handed to the handler, gives back its memory and closes the connection. */
void HttpSession::refuse(const std::string &reason, HttpResponse response)
{
    m_state->recordClosure(reason);
    m_state->evictable.remove(*this);
    m_parser.reset();
    m_buffer.clear();
    m_memory.take(0);
    m_response = {};
    m_response.version(11);
    m_response.keep_alive(false);
    m_isAnswered = false;
    write(std::move(response));
}

void HttpSession::write(HttpResponse response)
{
    if (std::exchange(m_isAnswered, true)) {
        return;
    }
    if (m_state->closeAfterResponse) {
        m_response.keep_alive(false);
    }
    m_response.result(response.status);
    m_response.set(http::field::content_type, response.contentType);
    for (const auto &[name, value] : response.fields) {
        m_response.set(name, value);
    }
    m_response.body() = std::move(response.body);
    m_response.prepare_payload();
    m_stream.expires_after(m_state->options.requestTimeout);
    http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code error, std::size_t) {
        self->endRequest();
        if (self->m_isClosed) {
            return;
        }
        if (error == beast::error::timeout) {
            self->m_state->recordClosure("answer-timeout");
        }
        if (error || !self->m_response.keep_alive()) {
            self->close();
            return;
        }
        self->readRequest();
    });
}

bool HttpSession::isClientConnected()
{
    return m_buffer.size() > 0 || peekAtSocket(m_stream.socket()) != PeekResult::Closed;
}

void HttpSession::watchForClose()
{
    m_stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this(), watched = m_exchange](beast::error_code error) {
        const auto exchange = watched.lock();
        if (self->m_isAnswered || exchange != self->m_exchange.lock()) {
            return;
        }
        beast::error_code availableError;
        const std::size_t available = self->m_stream.socket().available(availableError);
        if (!error && !availableError && available > 0) {
            return; // The client has already sent its next request, which is read after the response.
        }
        self->m_isAnswered = true;
        self->close();
        if (exchange) {
            exchange->closed();
        }
    });
}

void HttpSession::endRequest()
{
    if (std::exchange(m_isBusy, false)) {
        --m_state->pendingRequests;
    }
}

void HttpSession::close()
{
    endRequest();
    if (std::exchange(m_isClosed, true)) {
        return;
    }
    --m_state->connections;
    m_state->evictable.remove(*this);
    m_memory.take(0);
    beast::error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

void HttpServerState::recordClosure(const std::string &reason)
{
    if (const auto connectionCount = closures.record(reason, MonotonicClock::now())) {
        logLine(LogLevel::Warning,
                "connections-closed",
                { { "reason", reason },
                  { "count", static_cast<std::int64_t>(*connectionCount) },
                  { "port", static_cast<std::int64_t>(options.address.port) },
                  { "open", static_cast<std::int64_t>(connections) } });
    }
}

} // namespace lagoonroute
