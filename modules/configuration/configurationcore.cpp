#include <lagoonroute/configuration/configurationcore.h>

#include "appliedconfiguration.h"
#include "configurationpull.h"
#include "configurationpush.h"
#include "configurationwatch.h"

#include <algorithm>
#include <utility>

namespace lagoonroute
{

ConfigurationCore::Options ConfigurationCore::Options::withSelf(NodeId id, std::string zoneName) const
{
    Options copy = *this;
    copy.self = id;
    copy.zone = std::move(zoneName);
    return copy;
}

ConfigurationCore::Options ConfigurationCore::Options::withSeed(std::uint64_t value) const
{
    Options copy = *this;
    copy.seed = value;
    return copy;
}

ConfigurationCore::Options ConfigurationCore::Options::withWatchersPerZone(std::size_t count) const
{
    Options copy = *this;
    copy.watchersPerZone = count;
    return copy;
}

ConfigurationCore::Options ConfigurationCore::Options::withPushFanout(std::size_t count) const
{
    Options copy = *this;
    copy.pushFanout = count;
    return copy;
}

class ConfigurationCore::Implementation
{
public:
    explicit Implementation(const Options &chosen)
        : options(chosen)
        , random(chosen.seed)
        , pull(chosen)
        , push(chosen)
        , watch(chosen)
    {
    }

    void take(const ConfigurationPeersChanged &event, Instant now, std::vector<ConfigurationAction> &actions);
    void take(const PeerRevisionSeen &event, Instant now, std::vector<ConfigurationAction> &actions);
    void take(const ConfigurationMessageReceived &event, Instant now, std::vector<ConfigurationAction> &actions);
    void take(const ConfigurationStoreReplied &event, Instant now, std::vector<ConfigurationAction> &actions);
    void take(const ConfigurationTimeElapsed &event, Instant now, std::vector<ConfigurationAction> &actions);

    void answer(NodeId from, const RequestConfiguration &question, Instant now, std::vector<ConfigurationAction> &actions);
    void adoptOffer(NodeId from, const OfferConfiguration &offer, Instant now, std::vector<ConfigurationAction> &actions);
    void adoptPatch(NodeId from, const PatchConfiguration &patch, Instant now, std::vector<ConfigurationAction> &actions);
    void passOn(Revision previous, std::vector<ConfigurationAction> &actions);
    void advance(Instant now, std::vector<ConfigurationAction> &actions);

    /** Whether a process that does not watch may read the store: it started a while ago and got nothing from peers. */
    [[nodiscard]] bool mayReadStore(Instant now) const
    {
        return !ready && firstEvent && now >= *firstEvent + options.startupWait;
    }

    Options options;
    SeededRandom random;
    AppliedConfiguration applied;
    ConfigurationPull pull;
    ConfigurationPush push;
    ConfigurationWatch watch;
    ConfigurationCounts counts;
    std::optional<Instant> firstEvent;
    Instant offerWindow{};
    std::size_t offersInWindow = 0;
    bool ready = false;
};

void ConfigurationCore::Implementation::take(const ConfigurationPeersChanged &event, Instant /*now*/, std::vector<ConfigurationAction> & /*actions*/)
{
    pull.setPeers(event.peers);
    push.setPeers(event.peers);
    watch.setPeers(event.peers);
}

void ConfigurationCore::Implementation::take(const PeerRevisionSeen &event, Instant now, std::vector<ConfigurationAction> & /*actions*/)
{
    pull.see(event.peer, event.revision, now);
}

void ConfigurationCore::Implementation::take(const ConfigurationMessageReceived &event, Instant now, std::vector<ConfigurationAction> &actions)
{
    if (const auto *question = std::get_if<RequestConfiguration>(&event.message)) {
        answer(event.from, *question, now, actions);
        return;
    }
    if (const auto *offer = std::get_if<OfferConfiguration>(&event.message)) {
        adoptOffer(event.from, *offer, now, actions);
        return;
    }
    adoptPatch(event.from, std::get<PatchConfiguration>(event.message), now, actions);
}

void ConfigurationCore::Implementation::take(const ConfigurationStoreReplied &event, Instant now, std::vector<ConfigurationAction> &actions)
{
    if (const std::optional<std::string> document = watch.handle(event.reply, now, random)) {
        applied.adopt(*document, counts, actions);
    }
}

void ConfigurationCore::Implementation::take(const ConfigurationTimeElapsed & /*event*/, Instant /*now*/, std::vector<ConfigurationAction> & /*actions*/)
{
}

void ConfigurationCore::Implementation::answer(NodeId from, const RequestConfiguration &question, Instant now, std::vector<ConfigurationAction> &actions)
{
    if (now >= offerWindow + std::chrono::seconds(1)) {
        offerWindow = now;
        offersInWindow = 0;
    }
    if (++offersInWindow > options.offersPerSecond) {
        return;
    }
    counts.offered += applied.revision() > question.knownRevision ? 1 : 0;
    actions.emplace_back(SendConfigurationMessage{ from, applied.messageFor(question.knownRevision) });
}

void ConfigurationCore::Implementation::adoptOffer(NodeId from, const OfferConfiguration &offer, Instant now, std::vector<ConfigurationAction> &actions)
{
    pull.answered(from, offer.revision, now);
    if (offer.document.empty()) {
        return;
    }
    if (offer.revision <= applied.revision()) {
        ++counts.lower;
        return;
    }
    applied.adopt(offer.document, counts, actions);
    if (applied.revision() < offer.revision) {
        pull.refused(from, now);
    }
}

void ConfigurationCore::Implementation::adoptPatch(NodeId from, const PatchConfiguration &patch, Instant now, std::vector<ConfigurationAction> &actions)
{
    pull.answered(from, patch.revision, now);
    if (patch.revision <= applied.revision()) {
        ++counts.lower;
        return;
    }
    const std::uint64_t malformed = counts.malformed;
    applied.adopt(patch, counts, actions);
    if (counts.malformed > malformed) {
        pull.refused(from, now);
    }
}

void ConfigurationCore::Implementation::passOn(Revision previous, std::vector<ConfigurationAction> &actions)
{
    for (const NodeId child : push.children()) {
        if (pull.seenAt(child) < applied.revision()) {
            ++counts.pushed;
            actions.emplace_back(SendConfigurationMessage{ child, applied.messageFor(previous) });
        }
    }
}

void ConfigurationCore::Implementation::advance(Instant now, std::vector<ConfigurationAction> &actions)
{
    if (!firstEvent) {
        firstEvent = now;
    }
    pull.advance(applied.revision(), now, random, counts, actions);
    const bool hasAnswer = applied.revision() > 0 || watch.isKnownEmpty();
    ready = ready || (hasAnswer && !pull.isAsking() && applied.revision() >= pull.highestSeen());
    watch.advance(mayReadStore(now), now, counts, actions);
}

ConfigurationCore::ConfigurationCore(const Options &options)
    : m_implementation(std::make_unique<Implementation>(options))
{
}

ConfigurationCore::~ConfigurationCore() = default;

void ConfigurationCore::handle(const ConfigurationEvent &event, Instant now, std::vector<ConfigurationAction> &actions)
{
    const Revision before = revision();
    std::visit([&](const auto &typed) { m_implementation->take(typed, now, actions); }, event);
    const bool isFirst = before == 0; // After a start the peers have it already, or learn it by gossip.
    if (!isFirst && revision() > before) {
        m_implementation->passOn(before, actions);
    }
    m_implementation->advance(now, actions);
}

std::optional<Instant> ConfigurationCore::nextWake() const
{
    const Implementation &core = *m_implementation;
    std::optional<Instant> wake = core.pull.nextWake();
    const auto consider = [&wake](Instant time) { wake = wake ? std::min(*wake, time) : time; };
    if (const auto call = core.watch.nextWake(false)) {
        consider(*call);
    } else if (!core.ready && core.firstEvent) {
        if (const auto read = core.watch.nextWake(true)) {
            consider(std::max(*read, *core.firstEvent + core.options.startupWait));
        }
    }
    return wake;
}

Revision ConfigurationCore::revision() const
{
    return m_implementation->applied.revision();
}

bool ConfigurationCore::isReady() const
{
    return m_implementation->ready;
}

bool ConfigurationCore::isWatcher() const
{
    return m_implementation->watch.isWatcher();
}

const ConfigurationCounts &ConfigurationCore::counts() const
{
    return m_implementation->counts;
}

} // namespace lagoonroute
