#pragma once

namespace lagoonroute
{

/**
 * Submits the job that the flags describe and prints its outcome as JSON.
 *
 * Returns 0 when it is complete, 3 when it failed, 4 when it was not run. Throws InvalidDocument for a wrong job file.
 */
int runSubmitCommand();

} // namespace lagoonroute
