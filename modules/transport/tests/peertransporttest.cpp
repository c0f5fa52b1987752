#include <lagoonroute/transport/transport.h>

#include <lagoonroute/base/errors.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

namespace
{

Envelope sampleEnvelope()
{
    SubmitJob submit{ .request = { NodeId{ 1 }, 2, 3 }, .shard = { "booking", 0 }, .epoch = 4, .job = JobId::fromSubmission("booking", "a", "b") };
    submit.content.tasks.push_back(TaskSpec{ .body = "{}", .need = { 1000, 256, 0 }, .declaredRunTime = std::chrono::milliseconds(5) });
    return Envelope{ NodeId{ 1 }, 2, NodeId{ 5 }, submit };
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerTransportTest)

BOOST_AUTO_TEST_CASE(EnvelopeRoundTrips)
{
    const Envelope envelope = sampleEnvelope();
    BOOST_TEST((decodeMessage(encodeMessage(envelope)) == envelope));
}

BOOST_AUTO_TEST_CASE(EveryTruncationIsRejected)
{
    const std::string bytes = encodeMessage(sampleEnvelope());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        BOOST_CHECK_THROW(decodeMessage(std::string_view(bytes).substr(0, size)), MalformedMessage);
    }
}

BOOST_AUTO_TEST_CASE(MessageIsDeliveredBetweenTwoProcesses)
{
    WakeSignal firstSignal;
    WakeSignal secondSignal;
    const auto options = PeerTransport::Options().withAddress({ "127.0.0.1", 0 });
    PeerTransport first(options.withSelf(NodeId{ 1 }, 1), firstSignal);
    PeerTransport second(options.withSelf(NodeId{ 2 }, 1), secondSignal);
    first.setPeer(NodeId{ 2 }, second.address());
    BOOST_TEST(first.send(NodeId{ 2 }, AcknowledgeResults{ { "booking", 0 }, {} }));

    bool arrived = false;
    while (!arrived) {
        secondSignal.waitUntil(std::nullopt);
        second.drain([&arrived](PeerEvent &&event) {
            const auto &received = std::get<MessageReceived>(event);
            BOOST_TEST((received.from == NodeId{ 1 }));
            arrived = std::holds_alternative<AcknowledgeResults>(received.message);
        });
    }
}

BOOST_AUTO_TEST_SUITE_END()
