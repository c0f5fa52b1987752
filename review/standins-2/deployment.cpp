#include "deployment.h"

#include <boost/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr const char *program = "target/lagoonroute";

json::object route(const std::string &name, int priority, std::int64_t timeout)
{
    return { { "name", name },
             { "host", "booking.example" },
             { "prefix", "/" + name + "/" },
             { "kind", "non_idempotent" },
             { "timeout-ms", timeout },
             { "target-latency-ms", 60 },
             { "priority", priority },
             { "service", "booking" },
             { "max-attempts", 2 },
             { "stretch", 1.6 } };
}

std::string configuration(std::int64_t timeout)
{
    const json::object service{ { "name", "booking" }, { "health-path", "/health" },  { "max-conns", 64 }, { "protocol", "h1" },
                                { "tls", false },      { "rejects-overload", false }, { "spare", false } };
    return json::serialize(json::object{ { "version", 7 },
                                         { "routes", json::array{ route("r0", 0, timeout), route("r1", 1, timeout) } },
                                         { "services", json::array{ service } },
                                         { "limits", json::object{ { "max-header-bytes", 16'384 }, { "max-body-bytes", 262'144 } } } });
}

std::string address(std::uint16_t port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"";
}

} // namespace

bool isTroubled()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

Process::Process(std::string role, std::string settings, std::string log)
    : m_role(std::move(role))
    , m_settings(std::move(settings))
    , m_log(std::move(log))
{
    start();
}

Process::~Process()
{
    signal(SIGKILL);
    waitForEnd(5s);
}

void Process::start()
{
    m_pid = ::fork();
    if (m_pid < 0) {
        throw std::runtime_error("cannot start a process");
    }
    if (m_pid == 0) {
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("LAGOONROUTE_BOOT", m_settings.c_str(), 1);
        ::execl(program, program, m_role.c_str(), nullptr);
        ::_exit(127);
    }
}

void Process::restart()
{
    start();
}

void Process::signal(int number)
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

bool Process::waitForEnd(std::chrono::milliseconds time)
{
    const Clock::time_point end = Clock::now() + time;
    while (m_pid > 0) {
        if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = -1;
        } else if (Clock::now() >= end) {
            return false;
        } else {
            std::this_thread::sleep_for(2ms);
        }
    }
    return true;
}

Deployment::Deployment(const DeploymentOptions &options, Record &record)
    : m_record(record)
    , m_folder(std::filesystem::temp_directory_path() / ("lagoonroute-review-" + std::to_string(::getpid())))
    , m_storePort(freePort())
    , m_store(std::make_unique<Store>(m_storePort))
{
    std::filesystem::create_directories(m_folder);
    m_store->put("op/config", configuration(options.routeTimeout));
    for (std::size_t entry = 0; entry < options.entries; ++entry) {
        m_entryPorts.push_back(EntryPorts{ freePort(), freePort(), freePort() });
    }
    for (std::size_t index = 0; index < options.workers; ++index) {
        const std::uint16_t port = freePort();
        const std::uint16_t control = freePort();
        const std::string name = std::to_string(index + 1);
        const std::string file = writeSettings("side-" + name, "\"announce\": " + address(control) + ",\n    \"upstream\": " + address(port) + ",");
        agents.push_back(std::make_unique<Process>("direct-agent", file, file + ".log"));
        m_workerPorts.push_back(port);
        controls.push_back(control);
    }
    if (options.workerDelay == 0ms) {
        startWorkers(options);
    }
    for (std::size_t entry = 0; entry < options.entries; ++entry) {
        const EntryPorts &ports = m_entryPorts[entry];
        const std::string file = writeSettings("front-" + std::to_string(entry + 1),
                                               "\"callers\": " + address(ports.callers) + ",\n    \"ready\": " + address(ports.ready)
                                                   + ",\n    \"link\": " + address(ports.link) + ",");
        entries.push_back(std::make_unique<Process>("direct-entry", file, file + ".log"));
    }
    if (options.workerDelay > 0ms) {
        std::this_thread::sleep_for(options.workerDelay);
        startWorkers(options);
    }
    for (std::size_t entry = 0; entry < options.entries; ++entry) {
        if (!waitUntil([&] { return isReady(entry); }, 15s)) {
            throw std::runtime_error("an entry does not become ready");
        }
    }
    std::this_thread::sleep_for(2s); // longer than the heartbeat interval of the workers
}

Deployment::~Deployment()
{
    entries.clear();
    agents.clear();
    workers.clear();
    m_store.reset();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder, ignored);
    }
}

void Deployment::startWorkers(const DeploymentOptions &options)
{
    for (std::size_t index = 0; index < options.workers; ++index) {
        const WorkerOptions worker{ .id = "i-" + std::to_string(index + 1), .port = m_workerPorts[index], .control = controls[index], .cpu = options.cpu };
        workers.push_back(std::make_unique<Worker>(worker, m_record, starts));
    }
}

std::string Deployment::settings(const std::string &node, const std::string &rest) const
{
    std::string contacts;
    for (const EntryPorts &ports : m_entryPorts) {
        contacts += (contacts.empty() ? "" : ",") + std::string("{ \"address\": ") + address(ports.link) + " }";
    }
    return "{\n    \"node\": \"" + node + "\",\n    \"zone\": \"zone\",\n    " + rest
        + "\n    \"longestLeaseMs\": 1000,\n    \"store\": " + address(m_storePort) + ",\n    \"contacts\": [" + contacts + "]\n}\n";
}

std::string Deployment::writeSettings(const std::string &node, const std::string &rest)
{
    const std::filesystem::path file = m_folder / (node + ".json");
    std::ofstream(file) << settings(node, rest);
    return file.string();
}

Response Deployment::submit(std::size_t entry, const std::string &id, int steps, int tasks, int work, int deadline, const std::string &route)
{
    json::array rows;
    for (int step = 0; step < steps; ++step) {
        json::object row{ { "count", tasks }, { "cpu", 6200 }, { "mem-mb", 64 }, { "estimate-ms", work } };
        if (step > 0) {
            row["after"] = json::array{ step - 1 };
        }
        rows.push_back(row);
    }
    const json::object body{ { "spec", std::to_string(work) }, { "best-effort", true }, { "steps", rows } };
    const Request request{ "POST",
                           "/" + route + "/" + id,
                           { { "Host", "booking.example" }, { "Content-Type", "application/json" }, { "X-Deadline-Ms", std::to_string(deadline) } },
                           json::serialize(body) };
    m_record.write("client sends " + request.target + " to front-" + std::to_string(entry + 1) + ", " + std::to_string(steps) + " steps of "
                   + std::to_string(tasks) + " tasks of " + std::to_string(work) + " ms, waits " + std::to_string(deadline) + " ms");
    const Response response = call(m_entryPorts[entry].callers, request, std::chrono::milliseconds(deadline + 500));
    m_record.write("client gets for " + request.target + ": "
                   + (response.status == 0 ? "no response, " + response.failure : std::to_string(response.status) + " " + response.body));
    return response;
}

Response Deployment::cancel(std::size_t entry, const std::string &id, const std::string &route)
{
    const Request request{ "DELETE", "/" + route + "/" + id, { { "Host", "booking.example" } }, "" };
    m_record.write("client sends DELETE " + request.target + " to front-" + std::to_string(entry + 1));
    const Response response = call(m_entryPorts[entry].callers, request, 2s);
    m_record.write("client gets for DELETE " + request.target + ": "
                   + (response.status == 0 ? "no response, " + response.failure : std::to_string(response.status) + " " + response.body));
    return response;
}

bool Deployment::isReady(std::size_t entry)
{
    return call(m_entryPorts[entry].ready, Request{ "GET", "/api/ready", {}, "" }, 500ms).status == 200;
}

bool Deployment::waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds time)
{
    const Clock::time_point end = Clock::now() + time;
    while (!condition()) {
        if (Clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

} // namespace review
