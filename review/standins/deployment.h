#pragma once

#include "clientpath.h"
#include "httpservice.h"
#include "record.h"
#include "upstream.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <filesystem>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{

/** Stand-in for the platform's store: keys with revisions, transactions and watches, each answered after `answerTime`. */
class Store
{
public:
    Store(boost::asio::io_context &loop, std::uint16_t port);

    /** Writes a value as the operator does. */
    void put(const std::string &key, const std::string &value);

private:
    struct Item
    {
        std::string encoded; // base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    boost::asio::awaitable<std::optional<Response>> handle(Request request);
    boost::asio::awaitable<Response> watch(std::string prefix, std::uint64_t after, std::chrono::milliseconds wait);
    Response transact(const std::string &body);
    void write(const std::string &key, std::string encoded);

    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    HttpService m_service;
};

/** Process of the system, started with a command of the deploy file. It is killed with its owner. */
class Process
{
public:
    /** Starts `target/lagoonroute ROLE` in the folder with the repository, with the settings in the variable that the platform sets. */
    Process(const std::string &role, const std::string &settingsFile, const std::string &logFile);
    ~Process();

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number);
    [[nodiscard]] bool isRunning();

private:
    pid_t m_pid = -1;
    bool m_isOver = false;
};

/** What a client has seen of one request. */
struct ClientResult
{
    unsigned status = 0; /**< 0: the connection ended or the client's time was over without a complete answer. */
    std::string body;
    std::int64_t afterMillis = 0;
};

/** Steps of a job: equal tasks, each after all of the step before. */
struct JobShape
{
    int steps = 1;
    int tasks = 1; /**< Of each step. */
    std::chrono::milliseconds work{ 0 }; /**< Of each task. */
    std::int64_t cpuMillis = 6200;
};

/** A small deployment: entries and agents as processes, with stand-ins for upstreams, store, clients and platform. */
class Deployment
{
public:
    /** Sizes, and what the operator's configuration says. */
    struct Options
    {
        std::size_t entries = 3;
        std::size_t agents = 6;
        std::int64_t upstreamCpuMillis = 64'000;
        std::chrono::milliseconds routeTimeout{ 1500 };
    };

    Deployment(Options options, Record &record);
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** Starts everything and waits until every entry is ready. Returns false if that does not happen in time. */
    bool start();

    /** Submits a best-effort job and waits for the answer in another thread. */
    std::future<ClientResult> submit(std::size_t entry, const std::string &id, JobShape shape, std::chrono::milliseconds deadline);

    /** As submit(), on a path to the entry that loseClients() breaks. */
    std::future<ClientResult> submitFromPhone(std::size_t entry, const std::string &id, JobShape shape, std::chrono::milliseconds deadline);

    /** The clients of submitFromPhone() lose their network: they see broken connections, and the entries see nothing. */
    void loseClients();

    /** Cancels a job. */
    ClientResult cancel(std::size_t entry, const std::string &id);

    /** Runs a function on the thread of the stand-ins and waits for it. */
    void onLoop(const std::function<void()> &function);

    Process &entry(std::size_t index)
    {
        return *m_entries.at(index);
    }

    Upstream &upstream(std::size_t index)
    {
        return *m_upstreams.at(index);
    }

private:
    struct EntryPorts
    {
        std::uint16_t callers = freePort();
        std::uint16_t ready = freePort();
        std::uint16_t link = freePort();
        std::uint16_t metrics = freePort();
        std::uint16_t phones = freePort();
    };

    std::future<ClientResult> submitTo(std::uint16_t port, std::size_t entry, const std::string &id, JobShape shape, std::chrono::milliseconds deadline);
    ClientResult call(std::uint16_t port, Request request, std::chrono::milliseconds timeout);
    std::unique_ptr<Process> startProcess(const std::string &role, const std::string &node, const std::string &settings);
    bool isReady(std::size_t entry);

    Options m_options;
    Record &m_record;
    std::filesystem::path m_folder;
    boost::asio::io_context m_loop{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{ m_loop.get_executor() };
    std::thread m_thread;
    std::uint16_t m_storePort = freePort();
    std::vector<EntryPorts> m_entryPorts;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<ClientPath>> m_paths;
    std::vector<std::shared_ptr<Upstream>> m_upstreams;
    std::vector<std::unique_ptr<Process>> m_agents;
    std::vector<std::unique_ptr<Process>> m_entries;
};

/** Returns the path of the record that the variable RECORD names. */
std::string recordPath();

/** Returns whether the disruption is wanted: unless the variable TROUBLE is 0. */
bool isTroubleWanted();

} // namespace review
