#include <lagoonroute/control/workertracker.h>

#include <utility>

namespace lagoonroute
{

namespace
{

WorkerState workerOf(const Member &member, const ServiceOffer &offer)
{
    return WorkerState{ .node = member.id,
                        .incarnation = member.incarnation,
                        .zone = member.zone,
                        .rack = member.rack,
                        .slots = offer.slots,
                        .connections = offer.connections,
                        .capacity = offer.capacity,
                        .leaving = member.status != MemberStatus::Alive };
}

} // namespace

std::vector<WorkerUpdate> WorkerTracker::memberChanged(const Member &member)
{
    std::vector<WorkerUpdate> updates;
    TrackedMember &known = m_members[member.id];
    if (known.incarnation != member.incarnation) {
        for (const auto &[service, worker] : std::exchange(known.workers, {})) {
            updates.emplace_back(WorkerRemoved{ service, member.id, worker.incarnation });
        }
        known.incarnation = member.incarnation;
    }
    std::set<std::string> offered;
    for (const ServiceOffer &offer : member.offers) {
        offered.insert(offer.service);
        WorkerState worker = workerOf(member, offer);
        const auto [entry, isNew] = known.workers.try_emplace(offer.service, worker);
        if (isNew || entry->second != worker) {
            entry->second = worker;
            updates.emplace_back(WorkerChanged{ offer.service, std::move(worker) });
        }
    }
    for (auto &[service, worker] : known.workers) {
        if (!offered.contains(service) && !worker.leaving) {
            worker.leaving = true;
            updates.emplace_back(WorkerChanged{ service, worker });
        }
    }
    return updates;
}

std::vector<WorkerUpdate> WorkerTracker::memberGone(const Member &member)
{
    std::vector<WorkerUpdate> updates;
    const auto found = m_members.find(member.id);
    if (found == m_members.end() || found->second.incarnation != member.incarnation) {
        return updates;
    }
    for (const auto &[service, worker] : found->second.workers) {
        updates.emplace_back(WorkerRemoved{ service, member.id, worker.incarnation });
    }
    m_members.erase(found);
    return updates;
}

} // namespace lagoonroute
