#include "httpsession.h"

#include "socketpeek.h"

#include <lagoonroute/observation/log.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <exception>
#include <utility>

namespace lagoonroute
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

/** Exchange that owns a reference to its session until the response is sent or the connection is closed. */
class HttpSession::Exchange : public HttpExchange
{
public:
    Exchange(std::shared_ptr<HttpSession> session, HttpRequest request)
        : m_session(std::move(session))
        , m_request(std::move(request))
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
    std::function<void()> m_onClosed;
};

HttpSession::HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> state)
    : m_stream(std::move(socket))
    , m_state(std::move(state))
{
    ++m_state->connections;
    m_state->sessions.insert(this);
}

HttpSession::~HttpSession()
{
    endRequest();
    --m_state->connections;
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
    m_parser.emplace();
    m_parser->body_limit(m_state->options.maxBodyBytes);
    m_stream.expires_after(m_state->options.idleTimeout);
    http::async_read_header(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
        if (error) {
            self->refuse(error);
            return;
        }
        self->m_stream.expires_after(self->m_state->options.requestTimeout);
        http::async_read(self->m_stream, self->m_buffer, *self->m_parser, [self](beast::error_code readError, std::size_t) {
            if (readError) {
                self->refuse(readError);
                return;
            }
            self->handleRequest();
        });
    });
}

void HttpSession::handleRequest()
{
    m_stream.expires_never();
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
    const auto exchange = std::make_shared<Exchange>(shared_from_this(), std::move(request));
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
    m_response = {};
    m_response.version(11);
    m_response.keep_alive(false);
    m_isAnswered = false;
    if (error == http::error::body_limit) {
        write(HttpResponse{ .status = 413, .body = R"({"title":"the body is too large","status":413,"outcome":"not-run","reason":"invalid-request"})" });
    } else if (error == http::error::header_limit) {
        write(HttpResponse{ .status = 431, .body = R"({"title":"the header is too large","status":431,"outcome":"not-run","reason":"invalid-request"})" });
    } else if (error.category() == http::make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream
               && error != http::error::partial_message) {
        write(HttpResponse{ .status = 400, .body = R"({"title":"the request is not HTTP","status":400,"outcome":"not-run","reason":"invalid-request"})" });
    } else {
        close();
    }
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
    beast::error_code ignored;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

} // namespace lagoonroute
