#include <lagoonroute/direct/direct.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

constexpr Instant start{ std::chrono::seconds(100) };
constexpr LinkId first = 1;
constexpr LinkId second = 2;

const ConfigurationDocument document{ 7, "{ \"version\": 7 }" };

template <typename Message>
std::size_t sent(const std::vector<SendOnLink> &messages, LinkId link)
{
    return static_cast<std::size_t>(std::count_if(messages.begin(), messages.end(), [link](const SendOnLink &message) {
        return message.link == link && std::holds_alternative<Message>(message.message);
    }));
}

/** An exchange without a document, with the messages of all its steps. */
struct ExchangeFixture
{
    void step(Duration later)
    {
        now += later;
        for (SendOnLink &message : exchange.handleTimers(now)) {
            messages.push_back(std::move(message));
        }
    }

    DocumentExchange exchange{ DocumentExchange::Options() };
    Instant now = start;
    std::vector<SendOnLink> messages;
};

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentExchangeTest)

BOOST_AUTO_TEST_CASE(NeighbourGetsVersionOnceAndDocumentOnRequest)
{
    ExchangeFixture fixture;
    fixture.exchange.update(document);
    fixture.exchange.subscribe(first);
    fixture.step(1ms);
    fixture.step(1ms);
    BOOST_TEST(sent<DocumentNotice>(fixture.messages, first) == 1U);
    BOOST_TEST(sent<ConfigurationDocument>(fixture.messages, first) == 0U);
    fixture.exchange.requestReceived(first);
    fixture.step(1ms);
    fixture.step(1ms);
    BOOST_TEST(sent<ConfigurationDocument>(fixture.messages, first) == 1U);
}

BOOST_AUTO_TEST_CASE(NeighbourWithCurrentVersionGetsNoNotice)
{
    ExchangeFixture fixture;
    fixture.exchange.subscribe(first);
    fixture.exchange.noticeReceived(first, document.version, fixture.now);
    fixture.exchange.update(document);
    fixture.step(1ms);
    BOOST_TEST(fixture.messages.empty());
}

BOOST_AUTO_TEST_CASE(ProcessWithoutDocumentRequestsAtOnceFromOneNeighbour)
{
    ExchangeFixture fixture;
    fixture.exchange.noticeReceived(first, document.version, fixture.now);
    fixture.exchange.noticeReceived(second, document.version, fixture.now);
    fixture.step(0ms);
    fixture.step(500ms);
    BOOST_TEST(sent<DocumentRequest>(fixture.messages, first) == 1U);
    BOOST_TEST(sent<DocumentRequest>(fixture.messages, second) == 0U);
}

BOOST_AUTO_TEST_CASE(NewerVersionIsRequestedFromNeighbourOnlyAfterDelay)
{
    ExchangeFixture fixture;
    fixture.exchange.update(ConfigurationDocument{ 6, "{}" });
    fixture.exchange.noticeReceived(first, document.version, fixture.now);
    fixture.step(100ms);
    BOOST_TEST(fixture.messages.empty());
    fixture.exchange.update(document);
    fixture.step(100ms);
    BOOST_TEST(fixture.messages.empty());
    fixture.exchange.noticeReceived(first, 8, fixture.now);
    fixture.step(160ms);
    BOOST_TEST(sent<DocumentRequest>(fixture.messages, first) == 1U);
}

BOOST_AUTO_TEST_CASE(UnansweredRequestGoesToNextNeighbourAndToNoneTwice)
{
    ExchangeFixture fixture;
    fixture.exchange.noticeReceived(first, document.version, fixture.now);
    fixture.exchange.noticeReceived(second, document.version, fixture.now);
    fixture.step(0ms);
    fixture.step(1100ms);
    BOOST_TEST(sent<DocumentRequest>(fixture.messages, second) == 1U);
    for (int round = 0; round < 20; ++round) {
        fixture.step(1000ms);
    }
    BOOST_TEST(fixture.messages.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ClosedNeighbourIsReplacedByNewOne)
{
    ExchangeFixture fixture;
    fixture.exchange.noticeReceived(first, document.version, fixture.now);
    fixture.step(0ms);
    fixture.exchange.linkClosed(first);
    fixture.step(1100ms);
    fixture.exchange.noticeReceived(second, document.version, fixture.now);
    fixture.step(0ms);
    BOOST_TEST(sent<DocumentRequest>(fixture.messages, second) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
