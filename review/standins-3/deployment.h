#pragma once

#include "http.h"

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

namespace standins
{

/** Thrown when a case can't run; the script exits with 2. */
struct CannotRun
{
    std::string reason;
};

/** What a worker has logged: a run that began, or how it ended. */
struct RunEvent
{
    std::int64_t at = 0; // nowMs()
    std::string what; // start, done, stopped or lapsed
    std::string task;
    std::int64_t run = 0;
};

/** One run of a task at one worker. */
struct RunSpan
{
    std::string task;
    std::int64_t run = 0;
    std::size_t side = 0;
    std::int64_t begin = 0;
    std::int64_t end = 0;
    std::string how;
};

/** Processes of a small deployment: the store, entries, and sides of an agent and a worker each. All end with this object. */
class Deployment
{
public:
    struct Options
    {
        std::size_t entries = 3;
        std::size_t sides = 3;
        std::vector<std::vector<std::string>> labels; /**< Of each side's worker; missing ones have the label of their rack alone. */
        int cpu = 64'000; /**< Of each worker. */
    };

    /** Reads the folder for temporary files, the program of the project and the record's path from the command line. */
    Deployment(int argc, char **argv, Options options);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** Starts all processes and waits until every entry is ready and knows every agent. */
    void start();

    /** Starts an entry, also after it was killed. */
    void startEntry(std::size_t entry);
    /** Starts the worker of a side, also after it was killed. */
    void startWorker(std::size_t side, const std::vector<std::string> &labels);
    void signalEntry(std::size_t entry, int signal) const;
    void signalWorker(std::size_t side, int signal) const;
    /** Signals agent and worker of a side. */
    void signalSide(std::size_t side, int signal) const;
    /** Kills a process and waits for its end. */
    void killEntry(std::size_t entry);
    void killWorker(std::size_t side);

    /** Waits for the end of an entry's process, at most for the time. */
    void awaitEntryEnd(std::size_t entry, std::int64_t timeoutMs);
    /** Returns whether an entry says that it is ready, as the platform asks it. */
    [[nodiscard]] bool isReady(std::size_t entry) const;

    /** Returns a metric of an entry; -1 if it can't be read. */
    [[nodiscard]] std::int64_t metric(std::size_t entry, const std::string &name) const;

    [[nodiscard]] int callersPort(std::size_t entry) const
    {
        return m_entries[entry].callers;
    }

    /** Sends a client's request to an entry and records it. */
    Message call(std::size_t entry, const std::string &method, const std::string &id, const std::string &body, std::int64_t deadlineMs);
    /** The same on a connection that is open already. */
    Message call(Connection &connection, std::size_t entry, const std::string &method, const std::string &id, const std::string &body, std::int64_t deadlineMs);

    /** What the workers have logged so far, one list a side. */
    [[nodiscard]] std::vector<std::vector<RunEvent>> events() const;
    /** Runs by their logged begin and end; a run without an end goes on until `now`. */
    [[nodiscard]] std::vector<RunSpan> spans(std::int64_t now) const;
    /** Waits until a worker has begun a task whose name begins so, and returns the span. */
    RunSpan awaitStart(const std::string &taskPrefix, std::int64_t timeoutMs) const;

    /** Suspends a machine, with agent and worker, for the time, and returns when it went on. */
    std::int64_t suspendSide(std::size_t side, std::int64_t lengthMs);
    /**
     * Returns for how long two runs of one task were at work at the same time, and records it. Time for which the machine of one of
     * them was suspended is left out, and recorded apart.
     */
    std::int64_t overlapMs(std::size_t suspendedSide, std::int64_t suspendedAt, std::int64_t resumedAt);

    /** Adds a line to the record, with the time since the start of the case. */
    void record(const std::string &text);
    /** Records all runs. */
    void recordRuns();

private:
    struct Entry
    {
        int callers = 0;
        int ready = 0;
        int link = 0;
        int metrics = 0;
        pid_t process = 0;
    };

    struct Side
    {
        int announce = 0;
        int app = 0;
        pid_t agent = 0;
        pid_t worker = 0;
    };

    pid_t spawn(const std::string &name, const std::vector<std::string> &words, const std::string &settings) const;
    static void endProcess(pid_t &process);
    [[nodiscard]] std::string contacts() const;
    [[nodiscard]] std::string path(const std::string &name) const;
    void startAgent(std::size_t side);

    Options m_options;
    std::string m_self;
    std::string m_folder;
    std::string m_program;
    std::ofstream m_record;
    std::int64_t m_began = nowMs();
    int m_storePort = 0;
    pid_t m_store = 0;
    std::vector<Entry> m_entries;
    std::vector<Side> m_sides;
};

/** Runs a stand-in if the command line names one; it doesn't return then. Call it first in main(). */
void runStandinIfNamed(int argc, char **argv);

/** Returns whether the disruption is to be left out: TROUBLE=0. */
bool isWithoutTrouble();

/** Runs a case and returns its exit code: what `run` returns, or 2 if it can't run. */
int runCase(int argc, char **argv, const Deployment::Options &options, int (*run)(Deployment &));

} // namespace standins
