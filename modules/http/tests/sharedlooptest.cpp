#include <lagoonroute/http/http.h>

#include <lagoonroute/base/errors.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <stdexcept>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

/** Server and client that share one event loop, which runs on the test's thread. */
struct SharedLoop
{
    SharedLoop()
        : server(loop,
                 HttpServer::Options().withAddress({ "127.0.0.1", 0 }),
                 [this](const std::shared_ptr<HttpExchange> &exchange) {
                     if (exchange->request().target == "/fault") {
                         throw std::runtime_error("unexpected");
                     }
                     wasConnected = exchange->isClientConnected();
                     if (exchange->request().target == "/later") {
                         openExchange = exchange;
                     } else {
                         exchange->respond(HttpResponse{ .status = 200, .body = exchange->request().body });
                     }
                 })
        , client(loop)
    {
    }

    std::optional<HttpResult> call(const std::string &target, Duration timeout = 5s)
    {
        std::optional<HttpResult> result;
        client.call(server.address(), HttpRequest{ .method = "POST", .target = target, .fields = {}, .body = "body" }, timeout, [&](HttpResult answer) {
            result = std::move(answer);
        });
        while (!result && loop.run_one_for(6s) == 1) { }
        return result;
    }

    boost::asio::io_context loop{ 1 };
    std::optional<bool> wasConnected; // as the handler of the last request saw it
    std::shared_ptr<HttpExchange> openExchange;
    HttpServer server;
    HttpClient client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SharedLoopTest)

BOOST_AUTO_TEST_CASE(ServerAndClientShareOwnersEventLoop)
{
    SharedLoop shared;
    BOOST_TEST(shared.call("/")->response->body == "body");
    BOOST_TEST(shared.call("/")->response->body == "body");
}

BOOST_AUTO_TEST_CASE(CloseIdleCompletesRequestsInProgress)
{
    SharedLoop shared;
    BOOST_TEST(shared.call("/")->response.has_value()); // leaves an idle connection in the pool
    std::optional<HttpResult> later;
    shared.client.call(shared.server.address(), HttpRequest{ .method = "POST", .target = "/later", .fields = {}, .body = "" }, 5s, [&](HttpResult answer) {
        later = std::move(answer);
    });
    while (!shared.openExchange) {
        BOOST_REQUIRE(shared.loop.run_one_for(5s) == 1U);
    }
    shared.server.closeIdle();
    shared.openExchange->respond(HttpResponse{ .status = 200, .body = "whole" });
    while (!later) {
        BOOST_REQUIRE(shared.loop.run_one_for(5s) == 1U);
    }
    BOOST_TEST(later->response->body == "whole");
    const auto after = shared.call("/");
    BOOST_TEST(!after->response.has_value());
    BOOST_TEST(after->isRefused);
}

BOOST_AUTO_TEST_CASE(AddressInUseErrorContainsAddressAndNoLibraryPath)
{
    SharedLoop shared;
    try {
        const HttpServer second(shared.loop, HttpServer::Options().withAddress(shared.server.address()), [](const std::shared_ptr<HttpExchange> &) {});
        BOOST_FAIL("a second server was opened on an address in use");
    } catch (const NetworkError &error) {
        BOOST_TEST(std::string(error.what()).find("127.0.0.1:") != std::string::npos);
        BOOST_TEST(std::string(error.what()).find("/usr") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(UnresponsiveServerIsReportedAsTimedOutNotRefused)
{
    SharedLoop shared;
    const auto unresponsive = shared.call("/later", 100ms);
    BOOST_TEST((unresponsive->failure == HttpFailure::TimedOut));
    BOOST_TEST(!unresponsive->isRefused);
}

BOOST_AUTO_TEST_CASE(RequestOfDisconnectedClientIsRecognized)
{
    using boost::asio::ip::tcp;
    for (const bool isReset : { true, false }) {
        SharedLoop shared;
        boost::asio::io_context clientLoop;
        tcp::socket caller(clientLoop);
        caller.connect({ boost::asio::ip::make_address("127.0.0.1"), shared.server.address().port });
        boost::asio::write(caller, boost::asio::buffer(std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")));
        caller.set_option(tcp::socket::linger(isReset, 0));
        caller.close();
        while (!shared.wasConnected) {
            BOOST_REQUIRE(shared.loop.run_one_for(5s) == 1U);
        }
        BOOST_TEST(!*shared.wasConnected);
    }
}

BOOST_AUTO_TEST_CASE(ClientThatWaitsOrSendsItsNextRequestIsConnected)
{
    SharedLoop shared;
    BOOST_TEST(shared.call("/")->response.has_value());
    BOOST_TEST(*shared.wasConnected);
    boost::asio::io_context clientLoop;
    boost::asio::ip::tcp::socket caller(clientLoop);
    caller.connect({ boost::asio::ip::make_address("127.0.0.1"), shared.server.address().port });
    const std::string request = "POST /later HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request + request));
    while (!shared.openExchange) {
        BOOST_REQUIRE(shared.loop.run_one_for(5s) == 1U);
    }
    BOOST_TEST(*shared.wasConnected);
}

BOOST_AUTO_TEST_CASE(UnexpectedErrorFailsOnlyItsOwnRequest)
{
    SharedLoop shared;
    const auto faulty = shared.call("/fault");
    BOOST_REQUIRE(faulty->response.has_value());
    BOOST_TEST(faulty->response->status == 500U);
    BOOST_TEST(shared.call("/")->response->body == "body");
}

BOOST_AUTO_TEST_SUITE_END()
