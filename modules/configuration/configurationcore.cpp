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
    explicit Implementation(const Options &coreOptions)
        : options(coreOptions)
        , random(coreOptions.seed)
        , pull(coreOptions)
        , push(coreOptions)
        , watch(coreOptions)
    {
    }

    void process(const ConfigurationPeersChanged &event, Instant now, std::vector<ConfigurationAction> &actions);
    void process(const PeerRevisionSeen &event, Instant now, std::vector<ConfigurationAction> &actions);
    void process(const ConfigurationMessageReceived &event, Instant now, std::vector<ConfigurationAction> &actions);
    void process(const ConfigurationStoreReplied &event, Instant now, std::vector<ConfigurationAction> &actions);
    void process(const ConfigurationTimeElapsed &event, Instant now, std::vector<ConfigurationAction> &actions);

    void answerRequest(NodeId from, const RequestConfiguration &request, Instant now, std::vector<ConfigurationAction> &actions);
    void adoptOffer(NodeId from, const OfferConfiguration &offer, Instant now, std::vector<ConfigurationAction> &actions);
    void adoptPatch(NodeId from, const PatchConfiguration &patch, Instant now, std::vector<ConfigurationAction> &actions);
    void pushToChildren(Revision previous, std::vector<ConfigurationAction> &actions);
    void advance(Instant now, std::vector<ConfigurationAction> &actions);

    /** Whether a process that does not watch the store may read it: the process is not ready when startupStoreDelay has passed. */
    [[nodiscard]] bool mayReadStore(Instant now) const
    {
        return !ready && firstEventAt && now >= *firstEventAt + options.startupStoreDelay;
    }

    Options options;
    SeededRandom random;
    AppliedConfiguration applied;
    ConfigurationPull pull;
    ConfigurationPush push;
    ConfigurationWatch watch;
    ConfigurationCounts counts;
    std::optional<Instant> firstEventAt;
    Instant offerWindow{};
    std::size_t offersInWindow = 0;
    bool ready = false;
};

void ConfigurationCore::Implementation::process(const ConfigurationPeersChanged &event, Instant /*now*/, std::vector<ConfigurationAction> & /*actions*/)
{
    pull.setPeers(event.peers);
    push.setPeers(event.peers);
    watch.setPeers(event.peers);
}

void ConfigurationCore::Implementation::process(const PeerRevisionSeen &event, Instant now, std::vector<ConfigurationAction> & /*actions*/)
{
    pull.recordRevision(event.peer, event.revision, now);
}

void ConfigurationCore::Implementation::process(const ConfigurationMessageReceived &event, Instant now, std::vector<ConfigurationAction> &actions)
{
    if (const auto *request = std::get_if<RequestConfiguration>(&event.message)) {
        answerRequest(event.from, *request, now, actions);
        return;
    }
    if (const auto *offer = std::get_if<OfferConfiguration>(&event.message)) {
        adoptOffer(event.from, *offer, now, actions);
        return;
    }
    adoptPatch(event.from, std::get<PatchConfiguration>(event.message), now, actions);
}

void ConfigurationCore::Implementation::process(const ConfigurationStoreReplied &event, Instant now, std::vector<ConfigurationAction> &actions)
{
    if (const std::optional<std::string> document = watch.handle(event.reply, now, random)) {
        applied.adopt(*document, counts, actions);
    }
}

void ConfigurationCore::Implementation::process(const ConfigurationTimeElapsed & /*event*/, Instant /*now*/, std::vector<ConfigurationAction> & /*actions*/)
{
}

void ConfigurationCore::Implementation::answerRequest(NodeId from, const RequestConfiguration &request, Instant now, std::vector<ConfigurationAction> &actions)
{
    if (now >= offerWindow + std::chrono::seconds(1)) {
        offerWindow = now;
        offersInWindow = 0;
    }
    if (++offersInWindow > options.offersPerSecond) {
        return;
    }
    counts.offered += applied.revision() > request.knownRevision ? 1 : 0;
    actions.emplace_back(SendConfigurationMessage{ from, applied.messageFor(request.knownRevision) });
}

void ConfigurationCore::Implementation::adoptOffer(NodeId from, const OfferConfiguration &offer, Instant now, std::vector<ConfigurationAction> &actions)
{
    pull.recordAnswer(from, offer.revision, now);
    if (offer.document.empty()) {
        return;
    }
    if (offer.revision <= applied.revision()) {
        ++counts.lower;
        return;
    }
    applied.adopt(offer.document, counts, actions);
    if (applied.revision() < offer.revision) {
        pull.recordRejection(from, now);
    }
}

void ConfigurationCore::Implementation::adoptPatch(NodeId from, const PatchConfiguration &patch, Instant now, std::vector<ConfigurationAction> &actions)
{
    pull.recordAnswer(from, patch.revision, now);
    if (patch.revision <= applied.revision()) {
        ++counts.lower;
        return;
    }
    const std::uint64_t malformed = counts.malformed;
    applied.adopt(patch, counts, actions);
    if (counts.malformed > malformed) {
        pull.recordRejection(from, now);
    }
}

void ConfigurationCore::Implementation::pushToChildren(Revision previous, std::vector<ConfigurationAction> &actions)
{
    for (const NodeId child : push.children()) {
        if (pull.revisionAt(child) < applied.revision()) {
            ++counts.pushed;
            actions.emplace_back(SendConfigurationMessage{ child, applied.messageFor(previous) });
        }
    }
}

void ConfigurationCore::Implementation::advance(Instant now, std::vector<ConfigurationAction> &actions)
{
    if (!firstEventAt) {
        firstEventAt = now;
    }
    pull.advance(applied.revision(), now, random, counts, actions);
    const bool hasAnswer = applied.revision() > 0 || watch.isKnownEmpty();
    ready = ready || (hasAnswer && !pull.hasPendingRequests() && applied.revision() >= pull.highestRevision());
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
    std::visit([&](const auto &typed) { m_implementation->process(typed, now, actions); }, event);
    const bool isFirst = before == 0; // The peers already have the first revision after a start, or learn of it by gossip.
    if (!isFirst && revision() > before) {
        m_implementation->pushToChildren(before, actions);
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
    } else if (!core.ready && core.firstEventAt) {
        if (const auto read = core.watch.nextWake(true)) {
            consider(std::max(*read, *core.firstEventAt + core.options.startupStoreDelay));
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
