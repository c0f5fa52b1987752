#include <lagoonroute/membership/viewcore.h>

#include "startfence.h"
#include "viewrules.h"

#include <lagoonroute/base/errors.h>
#include <lagoonroute/membership/viewtable.h>
#include <lagoonroute/store/backoff.h>
#include <lagoonroute/store/markedswap.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

constexpr Duration tickInterval = std::chrono::milliseconds(200);
constexpr Duration firstRetry = std::chrono::milliseconds(200);
constexpr Duration maxRetry = std::chrono::seconds(5);
constexpr std::size_t maxWriteMarks = 16;

/** Purpose of a store call that has not been answered yet. */
enum class CallKind : std::uint8_t {
    Read,
    Swap,
    Watch,
    Lease,
    ConfirmLease, /**< Read of the views after a lease was granted. */
};

struct OpenCall
{
    CallKind kind = CallKind::Read;
    ShardKey shard; /**< Set for Lease and ConfirmLease. */
};

} // namespace

ViewCore::Options ViewCore::Options::withSelf(Member member) const
{
    Options changed = *this;
    changed.self = std::move(member);
    return changed;
}

ViewCore::Options ViewCore::Options::withCell(std::string name) const
{
    Options changed = *this;
    changed.cell = std::move(name);
    return changed;
}

ViewCore::Options ViewCore::Options::withSeed(std::uint64_t value) const
{
    Options changed = *this;
    changed.seed = value;
    return changed;
}

class ViewCore::Implementation
{
public:
    explicit Implementation(const Options &options)
        : m_options(options)
        , m_rules(m_options, m_state)
        , m_fence(m_options)
        , m_retry(firstRetry, maxRetry, options.seed)
        , m_watchRetry(firstRetry, maxRetry, options.seed + 1)
    {
        m_state.self = options.self;
        m_state.members[options.self.id] = options.self;
    }

    void handle(const ViewEvent &event, Instant now, std::vector<ViewAction> &actions)
    {
        if (!m_isStarted) {
            m_isStarted = true;
            m_state.startedAt = now;
        }
        m_now = now;
        std::visit([this](const auto &content) { on(content); }, event);
        decide();
        m_nextTick = now + tickInterval;
        std::move(m_actions.begin(), m_actions.end(), std::back_inserter(actions));
        m_actions.clear();
    }

    [[nodiscard]] std::optional<Instant> nextWake() const
    {
        return m_nextTick;
    }

    [[nodiscard]] const std::map<ShardKey, ShardView> &views() const
    {
        return m_state.views;
    }

    [[nodiscard]] bool isDrained() const
    {
        return std::none_of(
            views().begin(), views().end(), [this](const auto &entry) { return m_rules.isHome(entry.second) || m_rules.isMirror(entry.second); });
    }

private:
    void on(const MemberChanged &event)
    {
        m_state.members[event.member.id] = event.member;
    }

    void on(const MemberGone &event)
    {
        const auto known = m_state.members.find(event.member.id);
        const bool wasLeaving = known != m_state.members.end() && known->second.status == MemberStatus::Leaving;
        m_state.members.erase(event.member.id);
        m_state.deadMembers[event.member.id] = { event.member.incarnation, m_now, wasLeaving };
    }

    void on(const NewerViewReceived &event)
    {
        adopt(event.view, false);
    }

    void on(const LocalStateChanged &event)
    {
        m_state.self.offers = event.offers;
        m_state.members[m_state.self.id] = m_state.self;
    }

    void on(const ServicesConfigured &event)
    {
        m_services = event.shards;
    }

    void on(const MirrorSynchronised &event)
    {
        if (event.synchronised) {
            m_state.synchronised[event.shard] = event.epoch;
        } else {
            m_state.synchronised.erase(event.shard);
        }
    }

    void on(const DrainRequested & /*event*/)
    {
        m_state.isDraining = true;
        m_state.self.status = MemberStatus::Leaving;
        m_state.members[m_state.self.id] = m_state.self;
    }

    void on(const TimeElapsed & /*event*/)
    {
    }

    void on(const StoreReply &reply)
    {
        const auto found = m_calls.find(reply.number);
        if (found == m_calls.end()) {
            return;
        }
        const OpenCall open = found->second;
        m_calls.erase(found);
        switch (open.kind) {
        case CallKind::Read:
            onRead(reply);
            break;
        case CallKind::Swap:
            onSwapStep(reply);
            break;
        case CallKind::Watch:
            onWatched(reply);
            break;
        case CallKind::Lease:
            if (m_fence.handleReply(open.shard, reply.status, m_now)) {
                call(CallKind::ConfirmLease, StorePurpose::Lease, StoreRead{ viewsKey(m_options.cell) }, open.shard);
            }
            break;
        case CallKind::ConfirmLease:
            onLeaseConfirmed(open.shard, reply);
            break;
        }
    }

    void onRead(const StoreReply &reply)
    {
        if (reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound) {
            m_retry.reset();
            applyStored(reply.entry);
            if (!isStoredBehind()) {
                m_retryAt = m_now;
            }
            return;
        }
        m_retryAt = m_now + m_retry.next();
    }

    void onLeaseConfirmed(const ShardKey &shard, const StoreReply &reply)
    {
        if (reply.status != StoreStatus::Ok) {
            return;
        }
        const Epoch before = m_state.views.at(shard).epoch;
        applyStored(reply.entry);
        if (m_state.views.at(shard).epoch == before) {
            m_fence.confirm(shard);
        }
    }

    void onSwapStep(const StoreReply &reply)
    {
        switch (m_swap->handle(reply)) {
        case MarkedSwap::State::Swapping:
            m_retryAt = m_now + m_retry.next();
            break;
        case MarkedSwap::State::Rejected:
            m_retryAt = m_now + m_retry.next();
            m_swap.reset();
            break;
        case MarkedSwap::State::Conflict:
            // Another process changed the table at the same time: a random delay avoids a repeated conflict.
            m_retryAt = m_now + m_retry.next();
            applyStored(m_swap->current());
            m_swap.reset();
            break;
        case MarkedSwap::State::Applied:
            m_retry.reset();
            applyStored(m_swap->current());
            m_swap.reset();
            break;
        }
    }

    void onWatched(const StoreReply &reply)
    {
        if (reply.status == StoreStatus::Ok) {
            applyStored(reply.entry);
        }
        if (reply.status == StoreStatus::Ok || reply.status == StoreStatus::Unchanged) {
            m_watchRetry.reset();
            return;
        }
        m_nextWatch = m_now + m_watchRetry.next();
    }

    /** Returns whether peers sent a view that is newer than the one in the table last read from the store. */
    [[nodiscard]] bool isStoredBehind() const
    {
        return std::any_of(views().begin(), views().end(), [this](const auto &entry) {
            const auto stored = m_stored.views.find(entry.first);
            return stored == m_stored.views.end() || stored->second.epoch < entry.second.epoch;
        });
    }

    /** Applies the table of views from the store unless a later version has been read. */
    void applyStored(const StoreEntry &entry)
    {
        if (m_storedVersion && entry.version < *m_storedVersion) {
            return;
        }
        try {
            m_stored = decodeViews(entry.value);
            m_storedVersion = entry.version;
        } catch (const InvalidDocument &) {
            m_retryAt = m_now + m_retry.next();
            return;
        }
        for (const auto &[key, view] : m_stored.views) {
            adopt(view, true);
        }
    }

    void adopt(const ShardView &view, bool isFromStore)
    {
        const auto known = m_state.views.find(view.key);
        if (known != m_state.views.end() && known->second.epoch >= view.epoch) {
            return;
        }
        m_state.views[view.key] = view;
        m_state.betterMirrorSince.erase(view.key);
        if (!m_rules.isHome(view)) {
            m_fence.release(view.key);
        }
        if (isFromStore) {
            m_actions.emplace_back(ViewReadFromStore{ view });
        }
        // An incarnation that did not hold the records is neither home nor mirror, even if the view names its identity.
        if (!m_rules.namesOtherIncarnation(view)) {
            m_actions.emplace_back(ViewChanged{ view });
        }
    }

    void decide()
    {
        // An isolated pair may have been replaced: its isolation must end only when members reappear, not when the
        // retention of dead members ends.
        if (!m_rules.isIsolated()) {
            std::erase_if(m_state.deadMembers, [this](const auto &deadMember) { return m_now - deadMember.second.at > m_options.deadMemberRetention; });
        }
        updateFences();
        watch();
        if (m_now < m_retryAt || isOpen(CallKind::Read) || isOpen(CallKind::Swap)) {
            return;
        }
        if (m_swap) {
            continueSwap();
            return;
        }
        propose();
    }

    void updateFences()
    {
        const bool isIsolated = m_rules.isIsolated();
        for (const auto &[key, view] : m_state.views) {
            if (!m_rules.isHome(view)) {
                continue;
            }
            if (m_fence.update(key, view.mirror.isValid(), isIsolated, m_now, m_actions)) {
                requestLease(key);
            }
            if (!m_rules.hasBetterMirror(view)) {
                m_state.betterMirrorSince.erase(key);
            } else {
                m_state.betterMirrorSince.emplace(key, m_now);
            }
        }
    }

    void watch()
    {
        const bool isWatcher = isAmongFirst(viewsKey(m_options.cell), m_state.self, m_state.members, m_options.watchersPerZone);
        const bool isSettled = m_now >= m_state.startedAt + m_options.settleTime;
        if (isWatcher && isSettled && !isOpen(CallKind::Watch) && m_now >= m_nextWatch) {
            call(CallKind::Watch, StorePurpose::View, StoreWatch{ viewsKey(m_options.cell), m_storedVersion.value_or(0), m_options.watchWait });
        }
    }

    /** Makes the next call of the pending swap: reads after a lost answer, or resends the swap, for takeovers only under their leases. */
    void continueSwap()
    {
        const StoreOperation operation = m_swap->nextCall();
        const bool isSwap = std::holds_alternative<StoreSwap>(operation);
        const bool holdsLeases = std::all_of(m_takeovers.begin(), m_takeovers.end(), [this](const ShardKey &key) { return holdsLease(key); });
        if (!isSwap || holdsLeases) {
            call(CallKind::Swap, StorePurpose::View, operation);
        }
    }

    void propose()
    {
        std::vector<Proposal> proposals = dueProposals();
        if (proposals.empty()) {
            return;
        }
        if (!isStoredCurrent(proposals)) {
            m_retryAt = m_now + firstRetry;
            call(CallKind::Read, StorePurpose::View, StoreRead{ viewsKey(m_options.cell) });
            return;
        }
        std::erase_if(proposals, [this](const Proposal &proposal) { return proposal.cause == ProposalCause::Takeover && !holdsLease(proposal.view.key); });
        if (!proposals.empty()) {
            swap(proposals);
        }
    }

    std::vector<Proposal> dueProposals()
    {
        std::vector<Proposal> proposals;
        const auto add = [this, &proposals](const ShardKey &key) {
            if (const auto proposal = m_rules.proposal(key, m_now)) {
                proposals.push_back(*proposal);
            }
        };
        for (const auto &[key, view] : m_state.views) {
            add(key);
        }
        for (const auto &[service, shards] : m_services) {
            for (std::uint32_t shard = 0; shard < shards; ++shard) {
                const ShardKey key{ service, shard };
                if (m_state.views.find(key) == m_state.views.end()) {
                    add(key);
                }
            }
        }
        return proposals;
    }

    /** Returns whether the table last read from the store has exactly the views that the proposals replace. */
    [[nodiscard]] bool isStoredCurrent(const std::vector<Proposal> &proposals) const
    {
        return m_storedVersion && std::all_of(proposals.begin(), proposals.end(), [this](const Proposal &proposal) {
                   const auto stored = m_stored.views.find(proposal.view.key);
                   const Epoch storedEpoch = stored == m_stored.views.end() ? 0 : stored->second.epoch;
                   return storedEpoch + 1 == proposal.view.epoch;
               });
    }

    bool holdsLease(const ShardKey &key)
    {
        bool isRequestDue = false;
        const bool holds = m_fence.holdsForTakeover(key, m_now, isRequestDue);
        if (isRequestDue) {
            requestLease(key);
        }
        return holds;
    }

    void swap(const std::vector<Proposal> &proposals)
    {
        StoredViews next = m_stored;
        m_takeovers.clear();
        for (const Proposal &proposal : proposals) {
            next.views[proposal.view.key] = proposal.view;
            if (proposal.cause == ProposalCause::Promotion) {
                m_state.proposed[proposal.view.key] = proposal.view.epoch;
                m_actions.emplace_back(ViewProposed{ proposal.view });
            }
            if (proposal.cause == ProposalCause::Takeover) {
                m_takeovers.push_back(proposal.view.key);
            }
        }
        const std::string mark = makeWriteMark(m_options.self.name, m_options.self.incarnation, ++m_lastMark);
        next.marks.push_back(mark);
        if (next.marks.size() > maxWriteMarks) {
            next.marks.erase(next.marks.begin());
        }
        m_swap.emplace(StoreSwap{ viewsKey(m_options.cell), encodeViews(next), *m_storedVersion }, mark);
        call(CallKind::Swap, StorePurpose::View, m_swap->nextCall());
    }

    void requestLease(const ShardKey &key)
    {
        call(CallKind::Lease, StorePurpose::Lease, m_fence.request(key, m_now), key);
    }

    void call(CallKind kind, StorePurpose purpose, StoreOperation operation, const ShardKey &shard = {})
    {
        const std::uint64_t number = ++m_lastCall;
        m_calls[number] = { kind, shard };
        m_actions.emplace_back(StoreCall{ number, purpose, std::move(operation) });
    }

    [[nodiscard]] bool isOpen(CallKind kind) const
    {
        return std::any_of(m_calls.begin(), m_calls.end(), [kind](const auto &open) { return open.second.kind == kind; });
    }

    const Options m_options;
    ViewState m_state;
    ViewRules m_rules;
    StartFence m_fence;
    std::map<std::string, std::uint32_t> m_services;
    StoredViews m_stored;
    std::optional<StoreVersion> m_storedVersion;
    std::optional<MarkedSwap> m_swap;
    std::vector<ShardKey> m_takeovers; /**< Shards that the pending swap takes over from dead homes and mirrors. */
    std::map<std::uint64_t, OpenCall> m_calls;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastMark = 0;
    Backoff m_retry;
    Backoff m_watchRetry;
    Instant m_retryAt;
    Instant m_nextWatch;
    Instant m_nextTick;
    Instant m_now;
    bool m_isStarted = false;
    std::vector<ViewAction> m_actions;
};

ViewCore::ViewCore(const Options &options)
    : m_implementation(std::make_unique<Implementation>(options))
{
}

ViewCore::~ViewCore() = default;

void ViewCore::handle(const ViewEvent &event, Instant now, std::vector<ViewAction> &actions)
{
    m_implementation->handle(event, now, actions);
}

std::optional<Instant> ViewCore::nextWake() const
{
    return m_implementation->nextWake();
}

const std::map<ShardKey, ShardView> &ViewCore::views() const
{
    return m_implementation->views();
}

bool ViewCore::isDrained() const
{
    return m_implementation->isDrained();
}

} // namespace lagoonroute
