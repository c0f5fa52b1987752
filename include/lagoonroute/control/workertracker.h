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

/** What a change of a member means to the homes. */
using WorkerNews = std::variant<WorkerChanged, WorkerGone>;

/**
 * Turns what is known of members into what homes must know of workers.
 *
 * A member that is suspected, leaving, or no longer offers a service takes no new work; only the end of its life makes
 * its worker gone.
 */
class WorkerTracker
{
public:
    /** Takes in a new or changed member. */
    std::vector<WorkerNews> memberChanged(const Member &member);

    /** Takes in the end of a life of a member. */
    std::vector<WorkerNews> memberGone(const Member &member);

private:
    struct Known
    {
        Incarnation incarnation = 0;
        std::map<std::string, WorkerState> workers;
    };

    std::map<NodeId, Known> m_known;
};

} // namespace lagoonroute
