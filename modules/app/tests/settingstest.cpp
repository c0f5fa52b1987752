#include <lagoonroute/app/settings.h>

#include <lagoonroute/base/errors.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(ReadsCommentsAndDefaults)
{
    const Settings settings = Settings::fromText(R"({
        // a comment
        "node": "agent-1", "peer": {"ip": "127.0.0.1", "port": 7400}, "http": {"ip": "::1", "port": 7500},
        "contacts": [{"ip": "127.0.0.1", "port": 7401}], "withdrawMs": 250, "logLevel": "warning",
        "services": {"booking": {"queueLimit": 5}}, "views": [{"service": "booking", "home": "agent-1"}],
    })",
                                                 "test.json");
    BOOST_TEST(settings.node == "agent-1");
    BOOST_TEST(settings.contacts.at(0).port == 7401);
    BOOST_TEST((settings.withdrawTime == std::chrono::milliseconds(250)));
    BOOST_TEST((settings.logLevel == LogLevel::Warning));
    BOOST_TEST(settings.services.at("booking").queueLimit() == 5U);
    BOOST_TEST((settings.views.at(0).view().home == NodeId::fromName("agent-1")));
    BOOST_TEST(settings.cell == "default");
}

BOOST_AUTO_TEST_CASE(ReportsFileFieldValueAndRangeOfEveryFault)
{
    const std::string text = R"({"node": "A b", "peer": {"ip": "host", "port": 0}, "http": {"ip": "127.0.0.1", "port": 1},
                                 "withdrawMs": 70000, "logLevel": "loud", "zonne": "a"})";
    try {
        Settings::fromText(text, "test.json");
        BOOST_FAIL("the faults were not found");
    } catch (const InvalidDocument &error) {
        const std::string message = error.what();
        for (const char *expected : { "test.json: /node",
                                      "\"A b\"",
                                      "/peer/ip",
                                      "\"host\"",
                                      "/peer/port",
                                      "1 to 65535",
                                      "/withdrawMs",
                                      "0 to 60000",
                                      "/logLevel",
                                      "\"loud\"",
                                      "/zonne" }) {
            BOOST_TEST(message.find(expected) != std::string::npos, expected << " is missing in " << message);
        }
    }
}

BOOST_AUTO_TEST_CASE(ReportsFaultOnceAndTruncatesLongValue)
{
    constexpr std::size_t longName = 50'000;
    const std::string text
        = R"({"node": ")" + std::string(longName, 'A') + R"(", "peer": {"ip": "127.0.0.1", "port": 70000}, "http": {"ip": "127.0.0.1", "port": 1}})";
    try {
        Settings::fromText(text, "test.json");
        BOOST_FAIL("the faults were not found");
    } catch (const InvalidDocument &error) {
        const std::string message = error.what();
        BOOST_TEST(message.size() < 1000U);
        const std::size_t first = message.find("/peer/port");
        BOOST_TEST(first != std::string::npos);
        BOOST_TEST(message.find("/peer/port", first + 1) == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(ReportsMissingAddressesAsFaults)
{
    BOOST_CHECK_THROW(Settings::fromText(R"({"node": "a"})", "test.json"), InvalidDocument);
    BOOST_CHECK_THROW(Settings::fromText("[]", "test.json"), InvalidDocument);
    BOOST_CHECK_THROW(Settings::fromText("{", "test.json"), InvalidDocument);
}

BOOST_AUTO_TEST_SUITE_END()
