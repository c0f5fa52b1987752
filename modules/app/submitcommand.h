#pragma once

namespace lagoonroute
{

/**
 * Submits the job described by the flags and prints its outcome as JSON.
 *
 * Returns the exit code: 0 when the job is complete, 3 when it failed, 4 when it was not run. Throws InvalidDocument
 * for an invalid job file or a missing service.
 */
int runSubmitCommand();

} // namespace lagoonroute
