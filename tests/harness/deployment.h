#pragma once

#include "caller.h"
#include "childprocess.h"
#include "faultproxy.h"
#include "standinupstream.h"

#include <filesystem>
#include <map>
#include <memory>
#include <vector>

namespace lagoonroute::harness
{

/**
 * Entries, agents and upstreams on a loopback address that only this test runner uses.
 *
 * Entries are named entry-0, entry-1 and so on, agents agent-0, agent-1 and so on. Without a store, agent-0 is the home
 * and agent-1 the mirror. The destructor stops every process and upstream, also when a test fails.
 */
class Deployment
{
public:
    /** Sizes and seed of a deployment. */
    struct Options
    {
        std::size_t entries = 2;
        std::size_t agents = 3;
        std::uint16_t slots = 4;
        std::uint64_t seed = 1;
        bool proxied = false; /**< Puts a FaultProxy in front of each process. */
        bool store = false; /**< Stores views in a stand-in store, the process named "store"; otherwise the settings fix them. */
    };

    /** Starts every process and upstream, and waits until all are ready. */
    explicit Deployment(const Options &options);
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** Process with the given name. */
    ChildProcess &process(const std::string &name);

    /** Kills the process if it is still running, starts it again with the same settings and waits until it is ready. */
    void restart(const std::string &name);

    /** Runs `config submit` with the content and the reviewed revision. Returns the exit code of the command. */
    int submitConfiguration(const std::string &content, Revision reviewed);

    /** Name of the home agent according to the log of the entry; empty if the log names none yet. */
    std::string home(const std::string &entry = "entry-0");

    /** Number of lines in the log of the process that contain the text. */
    std::size_t logged(const std::string &name, const std::string &text);

    /** Names of the processes in the availability zone of the given process; `inRack` limits them to its rack. */
    [[nodiscard]] std::vector<std::string> neighbours(const std::string &name, bool inRack) const;

    /** Proxy in front of the process with the given name. */
    FaultProxy &proxy(const std::string &name);

    /** Isolates the processes: the other proxies drop their datagrams, and their own proxies drop all traffic. */
    void isolate(const std::vector<std::string> &names);

    /** Clears the faults of every proxy. */
    void clearFaults();

    /** Upstream of the agent with the given number. */
    StandInUpstream &upstream(std::size_t agent);

    /** Terminates the upstream at once, without withdrawing its announcement. */
    void killUpstream(std::size_t agent);

    /** Kills the process and, for an agent, terminates its upstream: simulates the failure of a host. */
    void killHost(const std::string &name);

    /** Represents all callers of the run. */
    Caller &caller();

    /** Start log of the upstreams. */
    StartLog &log();

    /** Body of the process's answer to a GET request for the path; nothing unless the status is 200. */
    std::optional<std::string> fetch(const std::string &name, const std::string &path);

    /** Revision of the configuration that is in force in the process; 0 if the process does not answer. */
    Revision revision(const std::string &name);

    /** Waits until the process answers /ready with status 200. Throws Error if it exits before. */
    void waitUntilReady(const std::string &name);

    /** Restricts later requests to entries that answer /ready with status 200, as the platform's load balancer does. */
    void balanceByReadiness();

    /** Everything that was recorded so far. */
    [[nodiscard]] Evidence evidence() const;

private:
    /** A process of the system with its addresses and location. */
    struct Node
    {
        std::string name;
        bool isEntry = false;
        NodeAddress peer;
        NodeAddress http;
        std::string zone;
        std::string rack;
        std::unique_ptr<FaultProxy> proxy;
        std::unique_ptr<ChildProcess> process;
    };

    void addNode(const std::string &prefix, std::size_t index, bool isEntry);
    void writeSettings(const Node &node) const;
    void start(Node &node);
    void startStore();
    [[nodiscard]] std::filesystem::path file(const Node &node, const char *suffix) const;
    [[nodiscard]] NodeAddress nextAddress();
    void waitUntilWorkersKnown(const Node &node);
    void printLogs() const;

    Options m_options;
    std::filesystem::path m_folder;
    std::string m_ip;
    std::uint16_t m_nextPort;
    NodeAddress m_storeAddress;
    std::unique_ptr<ChildProcess> m_store;
    std::map<std::string, Node> m_nodes;
    StartLog m_log;
    std::vector<std::unique_ptr<StandInUpstream>> m_upstreams;
    std::unique_ptr<Caller> m_caller;
};

} // namespace lagoonroute::harness
