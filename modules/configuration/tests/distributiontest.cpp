#include "distributionnetwork.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

/** Time limit from the acceptance of a change until it is in force in every process. */
constexpr Duration propagationLimit = 14s;

Configuration content(std::uint32_t queueLimit)
{
    return Configuration::Builder().withService(ServiceRules::Builder("booking").withQueueLimit(queueLimit).build()).build();
}

/** Fails the test when a process puts a revision in force that is not above the previous one of its incarnation. */
class RevisionMonotonicityCheck
{
public:
    explicit RevisionMonotonicityCheck(DistributionNetwork &network)
        : m_last(network.size())
    {
        network.onAction = [this](std::size_t index, const ConfigurationAction &action) {
            if (const auto *inForce = std::get_if<RevisionInForce>(&action)) {
                BOOST_TEST_REQUIRE(inForce->revision > m_last[index]);
                m_last[index] = inForce->revision;
            }
        };
    }

    void reset(std::size_t index)
    {
        m_last[index] = 0;
    }

private:
    std::vector<Revision> m_last;
};

Revision lowestRevision(const DistributionNetwork &network)
{
    Revision revision = network.core(0).revision();
    for (std::size_t index = 1; index < network.size(); ++index) {
        revision = std::min(revision, network.core(index).revision());
    }
    return revision;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DistributionTest)

BOOST_AUTO_TEST_CASE(AllProcessesReachLastOfThousandRevisionsUnderLoss)
{
    DistributionNetwork network(20, 3, 1);
    network.lossPercent = 10;
    RevisionMonotonicityCheck monotonicityCheck(network);
    for (std::uint32_t change = 1; change <= 1000; ++change) {
        network.publish(content(change));
        network.run(100ms);
    }
    network.run(propagationLimit);
    BOOST_TEST(lowestRevision(network) == 1000U);
    BOOST_TEST(network.core(0).isReady());
}

BOOST_AUTO_TEST_CASE(RevisionsIncreaseAndConvergeUnderRandomFaults)
{
    const bool holds = rc::check("revisions never decrease within an incarnation, and all processes catch up", [](std::uint64_t seed) {
        DistributionNetwork network(12, 3, seed);
        network.lossPercent = 20;
        network.repeatPercent = 20;
        network.largestDelay = 2s;
        RevisionMonotonicityCheck monotonicityCheck(network);
        Revision last = network.publish(content(1));
        const std::string stale = network.store.entries.at(std::string(configurationKey)).value;
        std::size_t isolated = network.size();
        network.connected = [&isolated](std::size_t from, std::size_t to) { return from != isolated && to != isolated; };
        for (int step = 0; step < 40; ++step) {
            const std::size_t index = *rc::gen::inRange<std::size_t>(0, network.size());
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                last = network.publish(content(static_cast<std::uint32_t>(step) + 2));
                break;
            case 1:
                monotonicityCheck.reset(index);
                network.restart(index);
                break;
            case 2:
                isolated = index;
                break;
            case 3:
                network.storeIsDown = !network.storeIsDown;
                break;
            case 4:
                network.handle(index, ConfigurationMessageReceived{ network.peers[0].id, OfferConfiguration{ last + 1, stale } });
                break;
            default:
                isolated = network.size();
            }
            network.run(std::chrono::milliseconds(*rc::gen::inRange(0, 5000)));
        }
        isolated = network.size();
        network.storeIsDown = false;
        network.lossPercent = 0;
        network.run(90s); // The revisions of a peer that offered a malformed document are ignored for a minute.
        RC_ASSERT(lowestRevision(network) == last);
        for (std::size_t index = 0; index < network.size(); ++index) {
            RC_ASSERT(network.core(index).isReady());
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(NewRevisionReachesAllProcessesByPushAlone)
{
    DistributionNetwork network(60, 3, 5);
    network.publish(content(1));
    network.run(propagationLimit);
    for (std::size_t index = 0; index < network.size(); ++index) {
        BOOST_TEST(network.core(index).counts().pushed == 0U); // The first revision of an incarnation is not pushed.
    }
    network.gossipInterval = 1h;
    network.run(1s);
    const std::uint64_t before = network.messages;
    std::uint64_t patches = 0;
    network.onAction = [&patches](std::size_t, const ConfigurationAction &action) {
        const auto *send = std::get_if<SendConfigurationMessage>(&action);
        patches += send != nullptr && std::holds_alternative<PatchConfiguration>(send->message) ? 1 : 0;
    };
    network.publish(content(2));
    network.run(propagationLimit);
    BOOST_TEST(lowestRevision(network) == 2U);
    BOOST_TEST(patches == 54U);
    BOOST_TEST(network.messages - before == 54U); // One for each process except the two watchers in each of the three zones.
}

BOOST_AUTO_TEST_CASE(ProcessesCatchUpFromPeersAfterPartition)
{
    DistributionNetwork network(21, 3, 2);
    RevisionMonotonicityCheck monotonicityCheck(network);
    network.publish(content(1));
    network.run(propagationLimit);
    network.connected = [](std::size_t from, std::size_t to) { return (from % 3 == 0) == (to % 3 == 0); };
    network.reachesStore = [](std::size_t index) { return index % 3 != 0; };
    network.run(31s);
    network.publish(content(2));
    network.run(propagationLimit);
    for (std::size_t index = 0; index < network.size(); ++index) {
        BOOST_TEST(network.core(index).revision() == (index % 3 == 0 ? 1U : 2U));
    }
    network.connected = nullptr;
    network.storeIsDown = true;
    network.run(propagationLimit);
    BOOST_TEST(lowestRevision(network) == 2U);
}

BOOST_AUTO_TEST_CASE(RestartedProcessBecomesReadyFromPeersOrRecoveredStore)
{
    DistributionNetwork network(12, 3, 3);
    RevisionMonotonicityCheck monotonicityCheck(network);
    network.publish(content(1));
    network.run(propagationLimit);
    network.storeIsDown = true;
    network.run(1min);
    monotonicityCheck.reset(4);
    network.restart(4);
    BOOST_TEST(!network.core(4).isReady());
    network.run(propagationLimit);
    BOOST_TEST(network.core(4).isReady());
    BOOST_TEST(network.core(4).revision() == 1U);

    std::size_t isolated = 0;
    while (network.core(isolated).isWatcher()) {
        ++isolated;
    }
    network.connected = [isolated](std::size_t from, std::size_t to) { return from != isolated && to != isolated; };
    monotonicityCheck.reset(isolated);
    network.restart(isolated);
    network.run(propagationLimit);
    BOOST_TEST(!network.core(isolated).isReady());
    network.storeIsDown = false;
    network.run(propagationLimit);
    BOOST_TEST(network.core(isolated).isReady()); // It received nothing from peers, so it reads the store.
    BOOST_TEST(network.core(isolated).revision() == 1U);
}

BOOST_AUTO_TEST_CASE(StartingProcessBecomesReadyAtHighestPeerRevision)
{
    ConfigurationCore core(ConfigurationCore::Options().withSelf(NodeId{ 1 }, "plateau"));
    const StoredConfiguration first = succeeding(nullptr, content(1), { .mark = "a" });
    const StoredConfiguration second = succeeding(&first, content(2), { .mark = "b" });
    std::vector<ConfigurationAction> actions;
    core.handle(ConfigurationPeersChanged{ { { NodeId{ 2 }, "plateau" }, { NodeId{ 3 }, "medina" } } }, Instant{}, actions);
    core.handle(ConfigurationMessageReceived{ NodeId{ 2 }, OfferConfiguration{ 1, first.toText() } }, Instant{}, actions);
    BOOST_TEST(!core.isReady()); // The other peer has not answered yet.
    core.handle(PeerRevisionSeen{ NodeId{ 2 }, 2 }, Instant{} + 900ms, actions);
    core.handle(ConfigurationMessageReceived{ NodeId{ 3 }, OfferConfiguration{ 2, "{" } }, Instant{} + 950ms, actions);
    BOOST_TEST(!core.isReady()); // A peer has a newer revision.
    core.handle(ConfigurationMessageReceived{ NodeId{ 2 }, OfferConfiguration{ 2, second.toText() } }, Instant{} + 1s, actions);
    BOOST_TEST(core.isReady());
    const std::uint64_t asked = core.counts().asked;
    core.handle(PeerRevisionSeen{ NodeId{ 3 }, 9 }, Instant{} + 2s, actions);
    core.handle(ConfigurationTimeElapsed{}, Instant{} + 10s, actions);
    BOOST_TEST(core.counts().asked == asked); // No request goes to a peer that recently offered a malformed document.
}

BOOST_AUTO_TEST_CASE(StaleAndMalformedOffersAreRefused)
{
    ConfigurationCore core(ConfigurationCore::Options().withSelf(NodeId{ 1 }, "plateau"));
    const NodeId peer{ 2 };
    const StoredConfiguration first = succeeding(nullptr, content(1), { .mark = "a" });
    const StoredConfiguration second = succeeding(&first, content(2), { .mark = "b" });
    std::string forged = second.toText();
    forged.replace(forged.find("\"queueLimit\":2"), 14, "\"queueLimit\":3");
    std::vector<ConfigurationAction> actions;
    const auto offer = [&](Revision revision, const std::string &document) {
        actions.clear();
        core.handle(ConfigurationMessageReceived{ peer, OfferConfiguration{ revision, document } }, Instant{}, actions);
        return core.revision();
    };
    core.handle(ConfigurationPeersChanged{ { { peer, "plateau" } } }, Instant{}, actions);
    BOOST_TEST(offer(2, forged) == 0U);
    BOOST_TEST(offer(2, "{") == 0U);
    BOOST_TEST(offer(3, first.toText()) == 1U);
    BOOST_TEST(offer(2, second.toText()) == 2U);
    BOOST_TEST(std::get<ServiceRulesChanged>(actions.at(0)).rules.queueLimit() == 2U);
    BOOST_TEST(offer(1, first.toText()) == 2U);
    BOOST_TEST(offer(9, first.toText()) == 2U);
    BOOST_TEST(core.counts().malformed == 2U);
    BOOST_TEST(core.counts().lower == 2U);
    core.handle(ConfigurationMessageReceived{ peer, PatchConfiguration{ 2, 3, "{}" } }, Instant{}, actions);
    core.handle(ConfigurationMessageReceived{ peer, PatchConfiguration{ 1, 3, "{}" } }, Instant{}, actions);
    BOOST_TEST(core.revision() == 2U);
    BOOST_TEST(core.counts().malformed == 3U); // A patch from another revision is ignored without being parsed.
    const StoredConfiguration third = succeeding(&second, Configuration(), { .mark = "c" });
    BOOST_TEST(offer(3, third.toText()) == 3U);
    BOOST_TEST(std::get<ServiceRemoved>(actions.at(0)).service == "booking");
}

BOOST_AUTO_TEST_CASE(StoreCallCountIsIndependentOfFleetSize)
{
    std::vector<std::uint64_t> calls;
    for (const std::size_t processes : { 12U, 120U }) {
        DistributionNetwork network(processes, 3, 4);
        network.publish(content(1));
        network.run(propagationLimit);
        const std::uint64_t before = network.storeCalls;
        network.publish(content(2));
        network.run(propagationLimit);
        BOOST_TEST(lowestRevision(network) == 2U);
        calls.push_back(network.storeCalls - before);
    }
    BOOST_TEST(calls[0] == calls[1]);
}

BOOST_AUTO_TEST_SUITE_END()
