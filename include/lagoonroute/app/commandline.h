#pragma once

namespace lagoonroute
{

/** Runs the command that the arguments name. Returns the exit code of the process. */
int runCommandLine(int argc, char **argv);

} // namespace lagoonroute
