#include "centralqueue.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace lagoonroute::bench
{

RunResult runCentralQueue(const Deployment &deployment, const std::vector<WorkItem> &items)
{
    RunResult result{ .policy = "central" };
    std::priority_queue<Instant, std::vector<Instant>, std::greater<>> freeAt;
    for (std::uint32_t slot = 0; slot < deployment.workers * deployment.slots; ++slot) {
        freeAt.push(Instant{});
    }
    Instant lastEnd{};
    Duration longest{ 0 };
    for (std::size_t index = 0; index < items.size(); ++index) {
        const WorkItem &item = items[index];
        const Instant end = std::max(item.arrival, freeAt.top()) + item.work;
        freeAt.pop();
        freeAt.push(end);
        ++result.tasks;
        lastEnd = std::max(lastEnd, end);
        longest = std::max(longest, item.work);
        const bool isLastOfJob = index + 1 == items.size() || items[index + 1].job != item.job;
        if (isLastOfJob) {
            if (item.caller != floodCaller) {
                result.added.push_back(lastEnd - item.arrival - longest);
            }
            lastEnd = Instant{};
            longest = Duration{ 0 };
        }
    }
    result.beyondHops = result.added;
    return result;
}

} // namespace lagoonroute::bench
