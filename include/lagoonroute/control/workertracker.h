#pragma once

#include <lagoonroute/dispatch/events.h>
#include <lagoonroute/membership/member.h>

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** Update of a worker that a membership change causes at the homes. */
using WorkerUpdate = std::variant<WorkerChanged, WorkerRemoved>;

/**
 * Converts membership changes to updates of workers for the homes.
 *
 * A worker whose member is suspected, leaving, or no longer offers the service accepts no new tasks. The worker is gone only
 * when the incarnation of its member has ended.
 */
class WorkerTracker
{
public:
    /** Returns the updates for a new or changed member. */
    std::vector<WorkerUpdate> memberChanged(const Member &member);

    /** Returns the updates for the end of a member's incarnation. */
    std::vector<WorkerUpdate> memberGone(const Member &member);

private:
    struct TrackedMember
    {
        Incarnation incarnation = 0;
        std::map<std::string, WorkerState> workers;
    };

    std::map<NodeId, TrackedMember> m_members;
};

} // namespace lagoonroute
