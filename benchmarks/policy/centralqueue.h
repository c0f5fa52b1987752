#pragma once

#include "runresult.h"
#include "workload.h"

namespace lagoonroute::bench
{

/** Runs the ideal policy: a single first-come, first-served queue for all slots, without network delays and faults. */
RunResult runCentralQueue(const Deployment &deployment, const std::vector<WorkItem> &items);

} // namespace lagoonroute::bench
