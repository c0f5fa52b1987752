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

/** An exchange without a document, with messages of all its turns. */
struct Neighbourhood
{
    void turn(Duration later)
    {
        now += later;
        for (SendOnLink &message : exchange.elapse(now)) {
            messages.push_back(std::move(message));
        }
    }

    DocumentExchange exchange{ DocumentExchange::Options() };
    Instant now = start;
    std::vector<SendOnLink> messages;
};

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentExchangeTest)

BOOST_AUTO_TEST_CASE(ANeighbourIsToldTheVersionOnceAndGetsTheDocumentOnRequest)
{
    Neighbourhood here;
    here.exchange.update(document);
    here.exchange.subscribe(first);
    here.turn(1ms);
    here.turn(1ms);
    BOOST_TEST(sent<DocumentNotice>(here.messages, first) == 1U);
    BOOST_TEST(sent<ConfigurationDocument>(here.messages, first) == 0U);
    here.exchange.requested(first);
    here.turn(1ms);
    here.turn(1ms);
    BOOST_TEST(sent<ConfigurationDocument>(here.messages, first) == 1U);
}

BOOST_AUTO_TEST_CASE(ANeighbourThatHoldsTheVersionIsNotTold)
{
    Neighbourhood here;
    here.exchange.subscribe(first);
    here.exchange.noticed(first, document.version, here.now);
    here.exchange.update(document);
    here.turn(1ms);
    BOOST_TEST(here.messages.empty());
}

BOOST_AUTO_TEST_CASE(AProcessWithoutAnyDocumentAsksAtOnceAndOneNeighbourOnly)
{
    Neighbourhood here;
    here.exchange.noticed(first, document.version, here.now);
    here.exchange.noticed(second, document.version, here.now);
    here.turn(0ms);
    here.turn(500ms);
    BOOST_TEST(sent<DocumentRequest>(here.messages, first) == 1U);
    BOOST_TEST(sent<DocumentRequest>(here.messages, second) == 0U);
}

BOOST_AUTO_TEST_CASE(ANewerVersionIsAwaitedFromTheStoreBeforeANeighbourIsAsked)
{
    Neighbourhood here;
    here.exchange.update(ConfigurationDocument{ 6, "{}" });
    here.exchange.noticed(first, document.version, here.now);
    here.turn(100ms);
    BOOST_TEST(here.messages.empty());
    here.exchange.update(document);
    here.turn(100ms);
    BOOST_TEST(here.messages.empty());
    here.exchange.noticed(first, 8, here.now);
    here.turn(160ms);
    BOOST_TEST(sent<DocumentRequest>(here.messages, first) == 1U);
}

BOOST_AUTO_TEST_CASE(AnotherNeighbourIsAskedWhenTheFirstStaysSilentAndNoneTwice)
{
    Neighbourhood here;
    here.exchange.noticed(first, document.version, here.now);
    here.exchange.noticed(second, document.version, here.now);
    here.turn(0ms);
    here.turn(1100ms);
    BOOST_TEST(sent<DocumentRequest>(here.messages, second) == 1U);
    for (int turn = 0; turn < 20; ++turn) {
        here.turn(1000ms);
    }
    BOOST_TEST(here.messages.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ANeighbourThatIsGoneIsReplacedByOneThatComes)
{
    Neighbourhood here;
    here.exchange.noticed(first, document.version, here.now);
    here.turn(0ms);
    here.exchange.closed(first);
    here.turn(1100ms);
    here.exchange.noticed(second, document.version, here.now);
    here.turn(0ms);
    BOOST_TEST(sent<DocumentRequest>(here.messages, second) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
