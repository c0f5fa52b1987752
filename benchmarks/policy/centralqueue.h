#pragma once

#include "runresult.h"
#include "workload.h"

namespace lagoonroute::bench
{

/** The ideal: one queue, first come, first served, in front of all slots, with no hops and no faults. */
RunResult runCentralQueue(const Deployment &deployment, const std::vector<WorkItem> &items);

} // namespace lagoonroute::bench
