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
 * Entries, agents and upstreams on an IP number of the loopback network that is this test runner's own.
 *
 * Entries are named entry-0, entry-1 and so on, agents agent-0, agent-1 and so on; agent-0 begins as home and agent-1
 * as mirror. All of it ends with the object, also when a test fails.
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
        bool proxied = false; /**< Puts a FaultProxy before each process. */
        bool store = false; /**< Keeps views in a stand-in store, the process named "store"; otherwise they are fixed. */
    };

    /** Starts every process and upstream, and waits until all serve. */
    explicit Deployment(const Options &options);
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** The process of that name. */
    ChildProcess &process(const std::string &name);

    /** Starts a process again that has ended, under its own settings, and waits until it serves. */
    void restart(const std::string &name);

    /** Submits a configuration as an operator who reviewed that revision. Returns the exit code of the command. */
    int submitConfiguration(const std::string &content, Revision reviewed);

    /** Name of the agent that is home, as the entry knows it; empty while it knows none. */
    std::string home(const std::string &entry = "entry-0");

    /** Number of lines in the log of the process that contain the text. */
    std::size_t logged(const std::string &name, const std::string &text);

    /** Names of the processes in the availability zone of the given process; `inRack` limits them to its rack. */
    [[nodiscard]] std::vector<std::string> neighbours(const std::string &name, bool inRack) const;

    /** Proxy before the process of that name. */
    FaultProxy &proxy(const std::string &name);

    /** Cuts the processes off from all others; their datagrams reach nobody, and no connection reaches them. */
    void cutOff(const std::vector<std::string> &names);

    /** Ends every fault of the proxies. */
    void heal();

    /** Upstream beside the agent of that number. */
    StandInUpstream &upstream(std::size_t agent);

    /** Ends the upstream as a worker that dies does. */
    void killUpstream(std::size_t agent);

    /** Kills the process and, beside an agent, its upstream, as a host that dies does. */
    void killHost(const std::string &name);

    /** Every caller of the run. */
    Caller &caller();

    /** Start log of the upstreams. */
    StartLog &log();

    /** What the process answers to a GET at the path; nothing when it does not answer with 200. */
    std::optional<std::string> fetch(const std::string &name, const std::string &path);

    /** Revision of the configuration that the process has in force. */
    Revision revision(const std::string &name);

    /** Waits until the process answers at /ready. */
    void waitUntilReady(const std::string &name);

    /** Sends callers from now on only to entries that answer at /ready, as the platform's balancer does. */
    void balanceByReadiness();

    /** Everything that was recorded so far. */
    [[nodiscard]] Evidence evidence() const;

private:
    /** One process of the system and how it is started. */
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

    void plan(const std::string &prefix, std::size_t index, bool isEntry);
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
