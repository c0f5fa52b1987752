#include <lagoonroute/membership/membershipcore.h>

#include "membershipstate.h"
#include "probing.h"
#include "stateexchange.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace lagoonroute
{

namespace
{

constexpr std::size_t indirectProbes = 3;
constexpr std::size_t gossipFanout = 3;
constexpr std::size_t contactsPerReconnect = 3;
constexpr std::size_t departureFanout = 5;
constexpr std::uint32_t transmitFactor = 4;
constexpr int settledGossipIntervals = 5; // After that many without a change, differing states are compared.
constexpr int overdueExchangeIntervals = 5; // After that many, states are compared even if they still change.
constexpr int detectionProbeIntervals = 10;
constexpr int disseminationGossipIntervals = 5;

/** Returns the number of datagrams in which an update is sent, so that it reaches every member with high probability. */
std::uint32_t transmitLimit(std::size_t members)
{
    return transmitFactor * static_cast<std::uint32_t>(std::ceil(std::log10(static_cast<double>(members + 1))));
}

} // namespace

Duration detectionBound(const MembershipCore::Options &options, std::size_t members)
{
    return (options.probeInterval * detectionProbeIntervals) + suspicionTimeout(options, members) + (options.gossipInterval * disseminationGossipIntervals);
}

MembershipCore::Options MembershipCore::Options::withSelf(Member member) const
{
    Options changed = *this;
    changed.self = std::move(member);
    return changed;
}

MembershipCore::Options MembershipCore::Options::withCell(std::string name) const
{
    Options changed = *this;
    changed.cell = std::move(name);
    return changed;
}

MembershipCore::Options MembershipCore::Options::withSeed(std::uint64_t value) const
{
    Options changed = *this;
    changed.seed = value;
    return changed;
}

class MembershipCore::Implementation
{
public:
    explicit Implementation(const Options &options)
        : m_options(options)
        , m_cell(Digest::of(options.cell).low)
        , m_random(options.seed)
        , m_state(m_options, m_actions)
        , m_exchange(m_state.table(), m_state.views())
    {
    }

    void handle(const MembershipEvent &event, Instant now, std::vector<MembershipAction> &actions)
    {
        if (m_hasLeft) {
            return;
        }
        m_now = now;
        compensateForPause();
        std::visit([this](const auto &content) { on(content); }, event);
        if (!m_hasLeft) {
            handleTimers();
        }
        std::move(m_actions.begin(), m_actions.end(), std::back_inserter(actions));
        m_actions.clear();
    }

    [[nodiscard]] std::optional<Instant> nextWake() const
    {
        if (m_hasLeft) {
            return std::nullopt;
        }
        Instant wake = std::min(m_nextProbe, m_nextReconnect);
        if (m_probe) {
            wake = std::min(wake, m_probe->hasSentRequests ? m_probe->deadline : m_probe->sendRequestsAt);
        }
        if (hasUpdates()) {
            wake = std::min(wake, m_nextGossip);
        }
        const std::optional<Instant> expiry = m_state.nextExpiry();
        return expiry ? std::min(wake, *expiry) : wake;
    }

    [[nodiscard]] const MembershipState &state() const
    {
        return m_state;
    }

    [[nodiscard]] MembershipCounts counts() const
    {
        MembershipCounts counts = m_counts;
        counts.suspicions = m_state.suspicions();
        counts.refutations = m_state.refutations();
        counts.droppedDescriptions = m_state.table().refused();
        return counts;
    }

private:
    [[nodiscard]] bool hasUpdates() const
    {
        return !m_isQueueEmpty || m_revisionDatagrams > 0;
    }

    /**
     * Drops the open probe and postpones the deadlines of suspects after a pause of this process or of its thread:
     * missing answers during the pause do not show that other members failed.
     */
    void compensateForPause()
    {
        const std::optional<Instant> due = nextWake();
        if (!m_isStarted || !due || m_now <= *due + m_options.probeInterval) {
            m_isStarted = true;
            return;
        }
        m_probe.reset();
        m_state.postpone(m_now - *due);
    }

    void on(const TimeElapsed & /*event*/)
    {
    }

    void on(const LocalStateChanged &event)
    {
        if (event.configurationRevision != m_state.self().configurationRevision) {
            m_state.changeOwnRevision(event.configurationRevision);
            m_revisionDatagrams = transmitLimit(m_state.table().liveCount());
        }
        if (event.offers != m_state.self().offers) {
            m_state.changeSelf([&event](Member &self) { self.offers = event.offers; });
        }
    }

    void on(const ContactsUpdated &event)
    {
        m_contacts = event.addresses;
    }

    void on(const ViewReadFromStore &event)
    {
        m_state.apply(event.view, true);
    }

    void on(const ProbeRequested &event)
    {
        m_order.prefer(event.node);
        if (!m_probe) {
            m_nextProbe = m_now;
        }
    }

    void on(const LeaveRequested & /*event*/)
    {
        m_state.changeSelf([](Member &self) { self.status = MemberStatus::Leaving; });
        m_nextGossip = m_now;
    }

    void on(const LeaveCompleted & /*event*/)
    {
        MemberStatusNotice departure = noticeOf(m_state.self());
        departure.status = MemberStatus::Dead;
        for (const NodeId node : drawMembers(m_state.table(), departureFanout, m_options.self.id, NodeId{}, m_random)) {
            GossipMessage message{ .to = node };
            message.notices.push_back(departure);
            send(m_state.table().find(node)->member.address, std::move(message));
        }
        m_hasLeft = true;
    }

    void on(const DatagramReceived &event)
    {
        const GossipMessage &message = event.message;
        const bool isForeign = message.cell != m_cell || message.from == m_options.self.id || (message.to.isValid() && message.to != m_options.self.id);
        if (isForeign) {
            ++m_counts.foreign;
            return;
        }
        ++m_counts.received;
        applyUpdates(message);
        std::visit([this, &event](const auto &body) { onBody(body, event); }, message.body);
        if (message.stateHash != m_state.hash()) {
            compareStates(event.from, message.from);
        }
    }

    void applyUpdates(const GossipMessage &message)
    {
        const bool isAnswer = std::holds_alternative<StateReply>(message.body);
        for (const Member &member : message.members) {
            m_state.apply(member, isAnswer, m_now);
        }
        for (const MemberStatusNotice &notice : message.notices) {
            m_state.apply(notice, m_now);
        }
        for (const ShardView &view : message.views) {
            m_state.apply(view, false);
        }
        m_state.updateRevision(message.from, message.incarnation, message.configurationRevision);
    }

    void onBody(const Probe &probe, const DatagramReceived &event)
    {
        GossipMessage reply{ .to = event.message.from, .body = ProbeReply{ probe.sequence } };
        const MemberEntry *sender = m_state.table().find(event.message.from);
        if (sender != nullptr && sender->member.status != MemberStatus::Alive) {
            reply.notices.push_back(noticeOf(sender->member));
        }
        send(event.from, std::move(reply));
    }

    void onBody(const ProbeReply &reply, const DatagramReceived & /*event*/)
    {
        if (m_probe && m_probe->sequence == reply.sequence) {
            m_probe.reset();
            return;
        }
        const auto requester = m_relays.take(reply.sequence, m_now);
        if (requester) {
            send(requester->address, GossipMessage{ .to = requester->node, .body = ProbeReply{ requester->sequence } });
        }
    }

    void onBody(const ProbeRequest &request, const DatagramReceived &event)
    {
        const std::uint64_t sequence = ++m_lastSequence;
        const Instant until = m_now + m_options.probeInterval;
        if (m_relays.add(sequence, { event.message.from, event.from, request.sequence, until }, m_now)) {
            send(request.address, GossipMessage{ .to = request.target, .body = Probe{ sequence } });
        }
    }

    void onBody(const UpdatesOnly & /*body*/, const DatagramReceived & /*event*/)
    {
    }

    void onBody(const StateReply & /*body*/, const DatagramReceived & /*event*/)
    {
    }

    void onBody(const StateDigest &digest, const DatagramReceived &event)
    {
        sendAll(event, m_exchange.answer(digest));
    }

    void onBody(const StateRequest &request, const DatagramReceived &event)
    {
        sendAll(event, m_exchange.answer(request));
    }

    void sendAll(const DatagramReceived &event, std::vector<GossipMessage> messages)
    {
        for (GossipMessage &message : messages) {
            message.to = event.message.from;
            sendWithoutUpdates(event.from, std::move(message));
        }
    }

    void compareStates(const NodeAddress &address, NodeId peer)
    {
        const bool isAlone = m_state.table().liveCount() == 1;
        const bool isSettled = m_isQueueEmpty && m_now >= m_state.lastChange() + (m_options.gossipInterval * settledGossipIntervals);
        const bool isOverdue = m_now >= m_lastExchange + (m_options.exchangeInterval * overdueExchangeIntervals);
        const bool isTooSoon = m_hasExchanged && m_now < m_lastExchange + m_options.exchangeInterval;
        if (isTooSoon || (m_hasExchanged && !isAlone && !isSettled && !isOverdue)) {
            return;
        }
        m_hasExchanged = true;
        m_lastExchange = m_now;
        ++m_counts.exchanges;
        for (GossipBody &body : m_exchange.digests()) {
            sendWithoutUpdates(address, GossipMessage{ .to = peer, .body = std::move(body) });
        }
    }

    void handleTimers()
    {
        m_state.expire(m_now);
        elapseProbe();
        if (m_now >= m_nextReconnect) {
            reconnect();
        }
        m_isQueueEmpty = m_state.queue().isEmpty();
        if (hasUpdates() && m_now >= m_nextGossip) {
            gossip();
        }
    }

    void elapseProbe()
    {
        if (m_probe && !m_probe->hasSentRequests && m_now >= m_probe->sendRequestsAt) {
            sendProbeRequests();
        }
        if (m_probe && m_now >= m_probe->deadline) {
            const NodeId unresponsive = m_probe->target;
            m_probe.reset();
            m_state.suspect(unresponsive, m_now);
        }
        if (!m_probe && m_now >= m_nextProbe) {
            m_nextProbe = m_now + m_options.probeInterval;
            startProbe();
        }
    }

    void startProbe()
    {
        const auto target = m_order.next(m_state.table(), m_options.self.id, m_random);
        if (!target) {
            return;
        }
        m_probe = OpenProbe{ *target, ++m_lastSequence, m_now + m_options.probeTimeout, m_now + m_options.probeInterval, false };
        const MemberEntry *entry = m_state.table().find(*target);
        GossipMessage message{ .to = *target, .body = Probe{ m_probe->sequence } };
        if (entry->member.status == MemberStatus::Suspect) {
            message.notices.push_back(noticeOf(entry->member));
        }
        send(entry->member.address, std::move(message));
    }

    void sendProbeRequests()
    {
        m_probe->hasSentRequests = true;
        const MemberEntry *target = m_state.table().find(m_probe->target);
        if (target == nullptr) {
            return;
        }
        const ProbeRequest request{ m_probe->sequence, m_probe->target, target->member.address };
        for (const NodeId helper : drawMembers(m_state.table(), indirectProbes, m_options.self.id, m_probe->target, m_random)) {
            send(m_state.table().find(helper)->member.address, GossipMessage{ .to = helper, .body = request });
        }
    }

    /** Probes contacts and addresses of dead members, at which a member that this process lacks may run. */
    void reconnect()
    {
        const bool isAlone = m_state.table().liveCount() == 1;
        m_nextReconnect = m_now + (isAlone ? m_options.probeInterval : m_options.reconnectInterval);
        std::vector<NodeAddress> candidates = m_contacts;
        for (const auto &[id, entry] : m_state.table().entries()) {
            if (entry.member.status == MemberStatus::Dead) {
                candidates.push_back(entry.member.address);
            }
        }
        std::erase_if(candidates, [this](const NodeAddress &address) { return isLive(address); });
        std::shuffle(candidates.begin(), candidates.end(), m_random);
        candidates.resize(std::min(candidates.size(), isAlone ? contactsPerReconnect : 1));
        for (const NodeAddress &address : candidates) {
            send(address, GossipMessage{ .body = Probe{ 0 } });
        }
    }

    [[nodiscard]] bool isLive(const NodeAddress &address) const
    {
        const auto &entries = m_state.table().entries();
        return std::any_of(entries.begin(), entries.end(), [&address](const auto &entry) {
            return entry.second.member.address == address && entry.second.member.status != MemberStatus::Dead;
        });
    }

    void gossip()
    {
        m_nextGossip = m_now + m_options.gossipInterval;
        for (const NodeId node : drawMembers(m_state.table(), gossipFanout, m_options.self.id, NodeId{}, m_random)) {
            m_revisionDatagrams -= std::min<std::uint32_t>(m_revisionDatagrams, 1);
            send(m_state.table().find(node)->member.address, GossipMessage{ .to = node });
        }
        m_isQueueEmpty = m_state.queue().isEmpty();
    }

    /** Sends a datagram with as many updates as fit into it. */
    void send(const NodeAddress &address, GossipMessage message)
    {
        m_state.queue().fill(message, m_state.table(), m_state.views(), transmitLimit(m_state.table().liveCount()));
        sendWithoutUpdates(address, std::move(message));
    }

    void sendWithoutUpdates(const NodeAddress &address, GossipMessage message)
    {
        message.cell = m_cell;
        message.from = m_options.self.id;
        message.incarnation = m_options.self.incarnation;
        message.stateHash = m_state.hash();
        message.configurationRevision = m_state.self().configurationRevision;
        ++m_counts.sent;
        m_counts.sentBytes += encodedSize(message);
        m_actions.emplace_back(SendDatagram{ address, std::move(message) });
    }

    const Options m_options;
    const std::uint64_t m_cell;
    std::mt19937_64 m_random;
    std::vector<MembershipAction> m_actions;
    MembershipState m_state;
    StateExchange m_exchange;
    ProbeOrder m_order;
    ProbeRelays m_relays;
    std::optional<OpenProbe> m_probe;
    std::vector<NodeAddress> m_contacts;
    std::uint64_t m_lastSequence = 0;
    std::uint32_t m_revisionDatagrams = 0;
    Instant m_now;
    Instant m_nextProbe;
    Instant m_nextGossip;
    Instant m_nextReconnect;
    Instant m_lastExchange;
    bool m_isQueueEmpty = false;
    bool m_hasExchanged = false;
    bool m_isStarted = false;
    bool m_hasLeft = false;
    MembershipCounts m_counts;
};

MembershipCore::MembershipCore(const Options &options)
    : m_implementation(std::make_unique<Implementation>(options))
{
}

MembershipCore::~MembershipCore() = default;

void MembershipCore::handle(const MembershipEvent &event, Instant now, std::vector<MembershipAction> &actions)
{
    m_implementation->handle(event, now, actions);
}

std::optional<Instant> MembershipCore::nextWake() const
{
    return m_implementation->nextWake();
}

const Member &MembershipCore::self() const
{
    return m_implementation->state().self();
}

std::vector<Member> MembershipCore::members() const
{
    std::vector<Member> members;
    for (const auto &[id, entry] : m_implementation->state().table().entries()) {
        if (id != self().id) {
            members.push_back(entry.member);
        }
    }
    return members;
}

MembershipCounts MembershipCore::counts() const
{
    return m_implementation->counts();
}

std::size_t MembershipCore::stateBytes() const
{
    return m_implementation->state().stateBytes();
}

} // namespace lagoonroute
