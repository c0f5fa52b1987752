#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/http/httpmessage.h>
#include <lagoonroute/membership/member.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace boost::asio
{
class io_context;
}

namespace lagoonroute
{

/** How far a call got that has no response. */
enum class HttpFailure : std::uint8_t {
    NotSent, /**< No byte of the request was written. */
    Broken, /**< The connection broke after bytes were written. */
    TimedOut, /**< No whole response came in time, after bytes were written. */
};

/** Result of a call: a response, or how it failed. */
struct HttpResult
{
    std::optional<HttpResponse> response;
    HttpFailure failure = HttpFailure::NotSent;
    bool isRefused = false; /**< Not sent, because no process listens at the address. */
};

/**
 * HTTP/1.1 client, on a thread of its own or on a given event loop, that keeps idle connections for reuse.
 *
 * It never repeats a request by itself.
 */
class HttpClient
{
public:
    /** Receives the result of a call, on the client's thread. */
    using Callback = std::function<void(HttpResult)>;

    HttpClient();

    /** Creates a client on an event loop that the caller runs on one thread; call() is for that thread only. */
    explicit HttpClient(boost::asio::io_context &loop);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a request. Callable from any thread. */
    void call(const NodeAddress &server, HttpRequest request, Duration timeout, Callback callback);

    /** Sends a request and waits for its result. Not to be called on the client's thread. */
    HttpResult callAndWait(const NodeAddress &server, HttpRequest request, Duration timeout);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
