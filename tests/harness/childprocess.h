#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace lagoonroute::harness
{

/** One process started by the test runner, killed at the latest when the object goes. */
class ChildProcess
{
public:
    /** Starts the program; what it prints goes to the end of `logFile`. Throws NetworkError when it cannot be started. */
    ChildProcess(std::vector<std::string> command, const std::string &logFile);
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Sends a signal to the process, if it still runs. */
    void signal(int number);

    /** Tells whether the process still runs. */
    [[nodiscard]] bool isRunning();

    /** Waits until the process has ended. Returns its exit code, or minus the signal that ended it. */
    int wait();

    /** Processor time of the process so far, in seconds. */
    [[nodiscard]] double processorSeconds() const;

private:
    pid_t m_pid = -1;
    bool m_isOver = false;
    int m_status = 0;
};

} // namespace lagoonroute::harness
