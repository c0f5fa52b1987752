#include <lagoonroute/control/controlcore.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

/** Homes of one service in a cell. */
constexpr std::uint32_t shardsPerService = 1;

} // namespace

ControlCore::Options ControlCore::Options::withMembership(MembershipCore::Options options) const
{
    Options changed = *this;
    changed.views = changed.views.withSelf(options.self).withCell(options.cell).withSeed(options.seed);
    changed.configuration = changed.configuration.withSelf(options.self.id, options.self.zone).withSeed(options.seed);
    changed.contacts = changed.contacts.withSelf(options.self).withCell(options.cell).withSeed(options.seed);
    changed.membership = std::move(options);
    return changed;
}

ControlCore::Options ControlCore::Options::withStore(StoreClientCore::Options options) const
{
    Options changed = *this;
    changed.usesStore = true;
    changed.store = options;
    return changed;
}

ControlCore::Options ControlCore::Options::withContacts(std::vector<NodeAddress> addresses) const
{
    Options changed = *this;
    changed.contacts = changed.contacts.withConfiguredContacts(std::move(addresses), {});
    return changed;
}

ControlCore::ControlCore(const Options &options)
    : m_membership(options.membership)
    , m_store(options.store)
{
    if (options.usesStore) {
        m_configuration.emplace(options.configuration);
        m_contacts.emplace(options.contacts);
    }
    if (options.usesStore && options.membership.self.role == NodeRole::Agent) {
        m_views.emplace(options.views);
    }
}

void ControlCore::handle(const ControlEvent &event, Instant now, Actions &actions)
{
    if (const auto *datagram = std::get_if<DatagramReceived>(&event)) {
        forwardToMembership(*datagram, now, actions);
    } else if (const auto *message = std::get_if<ConfigurationMessageReceived>(&event)) {
        forwardToConfiguration(*message, now, actions);
    } else if (const auto *reply = std::get_if<StoreReply>(&event)) {
        StoreClientCore::Actions store;
        m_store.handle(*reply, now, store);
        processStoreActions(store, now, actions);
    } else if (const auto *contacts = std::get_if<ContactsUpdated>(&event)) {
        forwardToMembership(*contacts, now, actions);
    } else if (const auto *offers = std::get_if<OffersChanged>(&event)) {
        m_offers = offers->offers;
        publishLocalState(now, actions);
    } else if (const auto *lost = std::get_if<ConnectionLost>(&event)) {
        forwardToMembership(ProbeRequested{ lost->peer }, now, actions);
    } else if (const auto *synchronised = std::get_if<MirrorSynchronised>(&event)) {
        forwardToViews(*synchronised, now, actions);
    } else if (std::holds_alternative<DrainRequested>(event)) {
        forwardToViews(DrainRequested{}, now, actions);
    } else if (std::holds_alternative<LeaveRequested>(event)) {
        forwardToMembership(LeaveRequested{}, now, actions);
        publishWorkers(m_workers.memberChanged(m_membership.self()), actions);
    } else if (std::holds_alternative<LeaveCompleted>(event)) {
        forwardToMembership(LeaveCompleted{}, now, actions);
    } else {
        handleTimers(now, actions);
    }
}

std::optional<Instant> ControlCore::nextWake() const
{
    std::optional<Instant> earliest = m_membership.nextWake();
    const auto consider = [&earliest](std::optional<Instant> wake) {
        if (wake && (!earliest || *wake < *earliest)) {
            earliest = wake;
        }
    };
    consider(m_store.nextWake());
    if (m_views) {
        consider(m_views->nextWake());
    }
    if (m_contacts) {
        consider(m_contacts->nextWake());
    }
    if (m_configuration) {
        consider(m_configuration->nextWake());
    }
    return earliest;
}

const std::map<ShardKey, ShardView> &ControlCore::views() const
{
    static const std::map<ShardKey, ShardView> none;
    return m_views ? m_views->views() : none;
}

bool ControlCore::isHandedOver() const
{
    return !m_views || m_views->isDrained();
}

bool ControlCore::isReady() const
{
    return !m_configuration || m_configuration->isReady();
}

void ControlCore::handleTimers(Instant now, Actions &actions)
{
    StoreClientCore::Actions store;
    m_store.handleTimers(now, store);
    processStoreActions(store, now, actions);
    forwardToMembership(TimeElapsed{}, now, actions);
    forwardToViews(TimeElapsed{}, now, actions);
    forwardToContacts(TimeElapsed{}, now, actions);
    forwardToConfiguration(ConfigurationTimeElapsed{}, now, actions);
}

void ControlCore::forwardToMembership(const MembershipEvent &event, Instant now, Actions &actions)
{
    std::vector<MembershipAction> produced;
    m_membership.handle(event, now, produced);
    for (MembershipAction &action : produced) {
        handleAction(std::move(action), now, actions);
    }
}

void ControlCore::forwardToViews(const ViewEvent &event, Instant now, Actions &actions)
{
    if (!m_views) {
        return;
    }
    std::vector<ViewAction> produced;
    m_views->handle(event, now, produced);
    for (ViewAction &action : produced) {
        handleAction(std::move(action), now, actions);
    }
}

void ControlCore::forwardToContacts(const ContactEvent &event, Instant now, Actions &actions)
{
    if (!m_contacts) {
        return;
    }
    std::vector<ContactAction> produced;
    m_contacts->handle(event, now, produced);
    for (const ContactAction &action : produced) {
        if (const auto *call = std::get_if<StoreCall>(&action)) {
            callStore(*call, now, actions);
        } else {
            forwardToMembership(std::get<ContactsUpdated>(action), now, actions);
        }
    }
}

void ControlCore::forwardToConfiguration(const ConfigurationEvent &event, Instant now, Actions &actions)
{
    if (!m_configuration) {
        return;
    }
    std::vector<ConfigurationAction> produced;
    m_configuration->handle(event, now, produced);
    for (ConfigurationAction &action : produced) {
        handleAction(std::move(action), now, actions);
    }
}

void ControlCore::callStore(const StoreCall &call, Instant now, Actions &actions)
{
    StoreClientCore::Actions store;
    m_store.submit(call, now, store);
    processStoreActions(store, now, actions);
}

void ControlCore::processStoreActions(StoreClientCore::Actions &store, Instant now, Actions &actions)
{
    for (StoreCall &call : store.calls) {
        actions.emplace_back(std::move(call));
    }
    for (const StoreReply &reply : store.replies) {
        if (reply.purpose == StorePurpose::Configuration) {
            forwardToConfiguration(ConfigurationStoreReplied{ reply }, now, actions);
        } else if (reply.purpose == StorePurpose::Contact) {
            forwardToContacts(reply, now, actions);
        } else {
            forwardToViews(reply, now, actions);
        }
    }
}

void ControlCore::handleAction(MembershipAction &&action, Instant now, Actions &actions)
{
    if (auto *datagram = std::get_if<SendDatagram>(&action)) {
        actions.emplace_back(std::move(*datagram));
    } else if (const auto *changed = std::get_if<MemberChanged>(&action)) {
        handleMemberChanged(changed->member, now, actions);
    } else if (const auto *gone = std::get_if<MemberGone>(&action)) {
        handleMemberGone(gone->member, now, actions);
    } else if (const auto *newerView = std::get_if<NewerViewReceived>(&action)) {
        if (m_views) {
            forwardToViews(*newerView, now, actions);
        } else {
            actions.emplace_back(ViewChanged{ newerView->view });
        }
    } else if (const auto *replaced = std::get_if<SelfReplaced>(&action)) {
        actions.emplace_back(*replaced);
    }
}

void ControlCore::handleAction(ViewAction &&action, Instant now, Actions &actions)
{
    if (const auto *call = std::get_if<StoreCall>(&action)) {
        callStore(*call, now, actions);
    } else if (const auto *learned = std::get_if<ViewReadFromStore>(&action)) {
        forwardToMembership(*learned, now, actions);
    } else if (auto *changed = std::get_if<ViewChanged>(&action)) {
        actions.emplace_back(std::move(*changed));
    } else if (auto *proposed = std::get_if<ViewProposed>(&action)) {
        actions.emplace_back(std::move(*proposed));
    } else if (auto *allowed = std::get_if<StartsAllowed>(&action)) {
        actions.emplace_back(std::move(*allowed));
    }
}

void ControlCore::handleAction(ConfigurationAction &&action, Instant now, Actions &actions)
{
    if (auto *message = std::get_if<SendConfigurationMessage>(&action)) {
        actions.emplace_back(std::move(*message));
    } else if (const auto *call = std::get_if<CallConfigurationStore>(&action)) {
        callStore(call->call, now, actions);
    } else if (auto *changed = std::get_if<ServiceRulesChanged>(&action)) {
        m_shards[changed->rules.name()] = shardsPerService;
        actions.emplace_back(RulesChanged{ std::move(changed->rules) });
    } else if (auto *removed = std::get_if<ServiceRemoved>(&action)) {
        m_shards.erase(removed->service);
        actions.emplace_back(std::move(*removed));
    } else if (const auto *inForce = std::get_if<RevisionInForce>(&action)) {
        m_revision = inForce->revision;
        actions.emplace_back(*inForce);
        publishServices(now, actions);
        publishLocalState(now, actions);
    } else if (auto *audit = std::get_if<AuditRecorded>(&action)) {
        actions.emplace_back(std::move(*audit));
    }
}

void ControlCore::handleMemberChanged(const Member &member, Instant now, Actions &actions)
{
    actions.emplace_back(PeerAddressUpdated{ member.id, member.address });
    publishWorkers(m_workers.memberChanged(member), actions);
    forwardToViews(MemberChanged{ member }, now, actions);
    forwardToContacts(MemberChanged{ member }, now, actions);
    const ConfigurationPeer peer{ member.id, member.zone };
    const auto [known, isNew] = m_peers.try_emplace(member.id, peer);
    if (isNew || known->second != peer) {
        known->second = peer;
        publishPeers(now, actions);
    }
    forwardToConfiguration(PeerRevisionSeen{ member.id, member.configurationRevision }, now, actions);
}

void ControlCore::handleMemberGone(const Member &member, Instant now, Actions &actions)
{
    publishWorkers(m_workers.memberGone(member), actions);
    forwardToViews(MemberGone{ member }, now, actions);
    forwardToContacts(MemberGone{ member }, now, actions);
    if (m_peers.erase(member.id) > 0) {
        publishPeers(now, actions);
    }
}

void ControlCore::publishWorkers(std::vector<WorkerUpdate> updates, Actions &actions)
{
    for (WorkerUpdate &item : updates) {
        std::visit([&actions](auto &worker) { actions.emplace_back(std::move(worker)); }, item);
    }
}

void ControlCore::publishPeers(Instant now, Actions &actions)
{
    ConfigurationPeersChanged changed;
    changed.peers.reserve(m_peers.size());
    for (const auto &[id, peer] : m_peers) {
        changed.peers.push_back(peer);
    }
    forwardToConfiguration(changed, now, actions);
}

void ControlCore::publishLocalState(Instant now, Actions &actions)
{
    const LocalStateChanged local{ m_offers, m_revision };
    forwardToMembership(local, now, actions);
    forwardToViews(local, now, actions);
    publishWorkers(m_workers.memberChanged(m_membership.self()), actions);
}

void ControlCore::publishServices(Instant now, Actions &actions)
{
    forwardToViews(ServicesConfigured{ m_shards }, now, actions);
}

} // namespace lagoonroute
