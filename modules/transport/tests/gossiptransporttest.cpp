#include <lagoonroute/base/errors.h>
#include <lagoonroute/transport/gossiptransport.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(GossipTransportTest)

namespace
{

GossipMessage sampleMessage(GossipBody body)
{
    Member member{ .id = NodeId{ 7 }, .name = "agent-7", .incarnation = 3, .address = { "127.0.0.1", 4007 }, .zone = "medina", .rack = "r2" };
    member.offers.push_back({ "booking", 8, 64, { 64000, 262144, 2 } });
    GossipMessage message{ .cell = 1, .from = NodeId{ 7 }, .incarnation = 3, .to = NodeId{ 8 }, .stateHash = 5, .body = std::move(body) };
    message.members.push_back(member);
    message.notices.push_back({ NodeId{ 9 }, 1, 2, MemberStatus::Suspect });
    message.views.push_back(ShardView{ { "booking", 0 }, 4, NodeId{ 7 }, NodeId{ 8 } });
    return message;
}

const std::vector<GossipBody> sampleBodies{ Probe{ 1 },
                                            ProbeReply{ 2 },
                                            ProbeRequest{ 3, NodeId{ 4 }, { "127.0.0.1", 4004 } },
                                            UpdatesOnly{},
                                            StateReply{},
                                            StateDigest{ DigestKind::Members, 0, 9, { { 1, 2, 3 }, { 4, 5, 6 } } },
                                            StateRequest{ DigestKind::Views, { 1, 2, 3 } } };

} // namespace

BOOST_AUTO_TEST_CASE(EveryBodyRoundTripsAndHasPredictedEncodedSize)
{
    for (const GossipBody &body : sampleBodies) {
        const GossipMessage message = sampleMessage(body);
        const std::string bytes = encodeGossip(message);
        BOOST_TEST((decodeGossip(bytes) == message));
        BOOST_TEST(bytes.size() == encodedSize(message));
    }
}

BOOST_AUTO_TEST_CASE(TruncationTrailingBytesAndUnknownEnumeratorsAreRejected)
{
    const std::string bytes = encodeGossip(sampleMessage(Probe{ 1 }));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        BOOST_CHECK_THROW(decodeGossip(std::string_view(bytes).substr(0, size)), MalformedMessage);
    }
    BOOST_CHECK_THROW(decodeGossip(bytes + "x"), MalformedMessage);

    GossipMessage wrong = sampleMessage(Probe{ 1 });
    wrong.notices.front().status = static_cast<MemberStatus>(9);
    BOOST_CHECK_THROW(decodeGossip(encodeGossip(wrong)), MalformedMessage);
}

BOOST_AUTO_TEST_CASE(DatagramIsDeliveredAndMalformedDatagramIsCounted)
{
    WakeSignal signal;
    WakeSignal otherSignal;
    const auto options = GossipTransport::Options().withAddress({ "127.0.0.1", 0 });
    GossipTransport first(options, signal);
    GossipTransport second(options, otherSignal);
    GossipMessage malformed = sampleMessage(Probe{ 1 });
    malformed.notices.front().status = static_cast<MemberStatus>(9);
    BOOST_TEST(first.send({ second.address(), malformed }));
    BOOST_TEST(first.send({ second.address(), sampleMessage(Probe{ 1 }) }));

    bool arrived = false;
    while (!arrived) {
        otherSignal.waitUntil(std::nullopt);
        second.drain([&](DatagramReceived &&datagram) {
            arrived = datagram.message == sampleMessage(Probe{ 1 });
            BOOST_TEST((datagram.from == first.address()));
        });
    }
    BOOST_TEST(second.counts().malformed == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
