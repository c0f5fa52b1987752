#include "startfence.h"

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

constexpr int renewalsPerTerm = 4;

} // namespace

StartFence::StartFence(const ViewCore::Options &options)
    : m_options(options)
{
}

bool StartFence::mayRequest(const State &state, Instant now) const
{
    return !state.isRequestPending && now >= state.nextRequest;
}

void StartFence::report(State &state, const StartsAllowed &allowed, std::vector<ViewAction> &actions)
{
    if (state.lastReported != allowed) {
        state.lastReported = allowed;
        actions.emplace_back(allowed);
    }
}

bool StartFence::update(const ShardKey &shard, bool hasMirror, bool isIsolated, Instant now, std::vector<ViewAction> &actions)
{
    State &state = m_states[shard];
    state.isLeaseNeeded = !hasMirror || isIsolated;
    if (!isIsolated) {
        state.isolatedSince.reset();
    } else if (!state.isolatedSince) {
        state.isolatedSince = now;
    }
    if (!state.isLeaseNeeded) {
        report(state, { shard, true, std::nullopt }, actions);
        return false;
    }
    std::optional<Instant> until = state.until;
    if (hasMirror) {
        const Instant grace = *state.isolatedSince + m_options.isolationGrace;
        until = until ? std::max(*until, grace) : grace;
    }
    const bool isAllowed = until && *until > now;
    report(state, { shard, isAllowed, isAllowed ? until : std::nullopt }, actions);
    return mayRequest(state, now);
}

bool StartFence::holdsForTakeover(const ShardKey &shard, Instant now, bool &isRequestDue)
{
    const State &state = m_states[shard];
    isRequestDue = mayRequest(state, now);
    return state.until && *state.until > now;
}

StoreLease StartFence::request(const ShardKey &shard, Instant now)
{
    State &state = m_states[shard];
    state.isRequestPending = true;
    state.requestedAt = now;
    state.nextRequest = now + (m_options.leaseTerm / renewalsPerTerm);
    return { "leases/" + m_options.cell + "/" + shard.service + "/" + std::to_string(shard.shard),
             std::to_string(m_options.self.id.value) + "/" + std::to_string(m_options.self.incarnation),
             m_options.leaseTerm };
}

bool StartFence::handleReply(const ShardKey &shard, StoreStatus status, Instant now)
{
    State &state = m_states[shard];
    state.isRequestPending = false;
    if (status != StoreStatus::Ok) {
        return false;
    }
    const bool wasHeld = state.until && *state.until > now;
    const Instant until = state.requestedAt + m_options.leaseTerm - m_options.leaseMargin;
    (wasHeld ? state.until : state.unconfirmedUntil) = until;
    return !wasHeld;
}

void StartFence::confirm(const ShardKey &shard)
{
    State &state = m_states[shard];
    state.until = std::exchange(state.unconfirmedUntil, std::nullopt);
}

void StartFence::release(const ShardKey &shard)
{
    m_states.erase(shard);
}

} // namespace lagoonroute
