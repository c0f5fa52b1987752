#pragma once

#include "store.h"
#include "worker.h"

#include <filesystem>
#include <future>

#include <sys/types.h>

namespace review
{

/** A process of the project, started with the command of the deploy file. */
class Process
{
public:
    /** Starts `target/lagoonroute ROLE` in the repository root; its output goes to a log file. */
    Process(std::string role, std::string settings, std::string log);

    /** Kills the process if it runs. */
    ~Process();

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number);

    /** Waits up to the given time for the end. Returns whether the process has ended. */
    bool waitForEnd(std::chrono::milliseconds time);

    /** Starts the process again after its end. */
    void restart();

private:
    void start();

    std::string m_role;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

/** What differs between deployments. */
struct DeploymentOptions
{
    std::size_t entries = 2;
    std::size_t workers = 3;
    std::int64_t cpu = 64'000; // of each worker, in thousandths
    std::int64_t routeTimeout = 1500; // in milliseconds
    std::chrono::milliseconds workerDelay{ 0 }; // time after which the workers start, counted from the agents and entries
};

/** A small deployment: the store, workers with their agents, and entries. */
class Deployment
{
public:
    /** Starts everything and waits until every entry is ready. Throws if one does not become ready. */
    Deployment(const DeploymentOptions &options, Record &record);
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** Sends a job of one or more steps with equal tasks, each after the one before. `step` is the work of a task in milliseconds. */
    Response submit(std::size_t entry, const std::string &id, int steps, int tasks, int work, int deadline, const std::string &route = "r1");

    /** Cancels a job. */
    Response cancel(std::size_t entry, const std::string &id, const std::string &route = "r1");

    bool isReady(std::size_t entry);

    /** Waits until the condition holds; returns whether it did within the time. */
    static bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds time);

    Starts starts;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Process>> agents;
    std::vector<std::unique_ptr<Process>> entries;
    std::vector<std::uint16_t> controls; // at which agents accept heartbeats

private:
    struct EntryPorts
    {
        std::uint16_t callers = 0;
        std::uint16_t ready = 0;
        std::uint16_t link = 0;
    };

    [[nodiscard]] std::string settings(const std::string &node, const std::string &rest) const;
    std::string writeSettings(const std::string &node, const std::string &rest);
    void startWorkers(const DeploymentOptions &options);

    Record &m_record;
    std::filesystem::path m_folder;
    std::uint16_t m_storePort = 0;
    std::unique_ptr<Store> m_store;
    std::vector<EntryPorts> m_entryPorts;
    std::vector<std::uint16_t> m_workerPorts;
};

/** Whether the case is to be disturbed: the environment variable TROUBLE is not 0. */
bool isTroubled();

} // namespace review
