#include "deployment.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <boost/json/src.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;
using namespace std::chrono_literals;

namespace
{

constexpr auto answerTime = 4ms; // of the store
constexpr auto startLimit = 20s;
const char *const zones[] = { "dakar-plateau", "dakar-medina", "dakar-ouakam" };
constexpr std::size_t zoneCount = 3;

std::string encode(const std::string &text)
{
    std::string encoded(base64::encoded_size(text.size()), '\0');
    encoded.resize(base64::encode(encoded.data(), text.data(), text.size()));
    return encoded;
}

std::string parameter(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t next = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        if (pair.rfind(name + "=", 0) == 0) {
            return pair.substr(name.size() + 1);
        }
        at = next;
    }
    return {};
}

std::string addressOf(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

asio::awaitable<void> pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

std::string recordPath()
{
    const char *path = std::getenv("RECORD");
    return path == nullptr ? "record.txt" : path;
}

bool isTroubleWanted()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

Store::Store(asio::io_context &loop, std::uint16_t port)
    : m_service(loop, port, [this](Request request) { return handle(std::move(request)); })
{
}

void Store::write(const std::string &key, std::string encoded)
{
    Item &item = m_items[key];
    item.encoded = std::move(encoded);
    item.revision = m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
}

void Store::put(const std::string &key, const std::string &value)
{
    ++m_revision;
    write(key, encode(value));
}

asio::awaitable<std::optional<Response>> Store::handle(Request request)
{
    co_await pause(answerTime);
    const std::string &target = request.target;
    if (target.rfind("/api/kv-key", 0) == 0) {
        const auto item = m_items.find(parameter(target, "key"));
        if (item == m_items.end()) {
            co_return Response{ 404, json::serialize(json::object{ { "as-of", m_revision } }) };
        }
        co_return Response{ 200,
                            json::serialize(json::object{ { "key", item->first },
                                                          { "value", item->second.encoded },
                                                          { "revision", item->second.revision },
                                                          { "create-revision", item->second.created },
                                                          { "lease", 0 },
                                                          { "as-of", m_revision } }) };
    }
    if (target.rfind("/api/kv-watch", 0) == 0) {
        co_return co_await watch(
            parameter(target, "prefix"), std::stoull(parameter(target, "after")), std::chrono::milliseconds(std::stoll(parameter(target, "wait-ms"))));
    }
    if (target == "/api/kv-txn") {
        co_return transact(request.body);
    }
    co_return Response{ 404, "{}" };
}

asio::awaitable<Response> Store::watch(std::string prefix, std::uint64_t after, std::chrono::milliseconds wait)
{
    const auto until = Clock::now() + wait;
    while (true) {
        json::array events;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) == 0 && item.revision > after) {
                events.push_back(json::object{
                    { "key", key }, { "value", item.encoded }, { "revision", item.revision }, { "create-revision", item.created }, { "lease", 0 } });
            }
        }
        if (!events.empty() || Clock::now() >= until) {
            co_return Response{ 200, json::serialize(json::object{ { "events", events }, { "as-of", m_revision } }) };
        }
        co_await pause(answerTime);
    }
}

Response Store::transact(const std::string &body)
{
    const json::value call = json::parse(body);
    for (const json::value &row : call.at("expected").as_array()) {
        const auto item = m_items.find(std::string(row.at("key").as_string()));
        const std::uint64_t revision = item == m_items.end() ? 0 : item->second.revision;
        if (row.at("revision").to_number<std::uint64_t>() != revision) {
            return Response{ 412, R"({"items":[]})" };
        }
    }
    ++m_revision;
    for (const json::value &row : call.at("writes").as_array()) {
        write(std::string(row.at("key").as_string()), std::string(row.at("value").as_string()));
    }
    return Response{ 200, json::serialize(json::object{ { "revision", m_revision } }) };
}

Process::Process(const std::string &role, const std::string &settingsFile, const std::string &logFile)
{
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("LAGOONROUTE_BOOT", settingsFile.c_str(), 1);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0); // the listeners of the stand-ins
        execl("target/lagoonroute", "target/lagoonroute", role.c_str(), nullptr);
        _exit(127);
    }
    close(log);
}

Process::~Process()
{
    if (isRunning()) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void Process::signal(int number)
{
    if (isRunning()) {
        kill(m_pid, number);
    }
}

bool Process::isRunning()
{
    m_isOver = m_isOver || m_pid <= 0 || waitpid(m_pid, nullptr, WNOHANG) == m_pid;
    return !m_isOver;
}

Deployment::Deployment(Options options, Record &record)
    : m_options(options)
    , m_record(record)
    , m_folder(std::filesystem::temp_directory_path() / ("lagoonroute-review-" + std::to_string(getpid())))
    , m_entryPorts(options.entries)
{
    std::filesystem::create_directories(m_folder);
    m_store = std::make_unique<Store>(m_loop, m_storePort);
    const json::object route{ { "name", "holds" },
                              { "host", "booking.example" },
                              { "prefix", "/holds/" },
                              { "kind", "non_idempotent" },
                              { "timeout-ms", m_options.routeTimeout.count() },
                              { "target-latency-ms", 60 },
                              { "priority", 0 },
                              { "service", "booking" },
                              { "max-attempts", 2 },
                              { "stretch", 1.6 } };
    const json::object service{ { "name", "booking" }, { "health-path", "/health" }, { "max-conns", 64 }, { "protocol", "h1" },
                                { "tls", false },      { "rejects-overload", false } };
    m_store->put("op/config",
                 json::serialize(json::object{ { "version", 7 },
                                               { "routes", json::array{ route } },
                                               { "services", json::array{ service } },
                                               { "limits", { { "max-header-bytes", 16'384 }, { "max-body-bytes", 262'144 } } } }));
    for (const EntryPorts &ports : m_entryPorts) {
        m_paths.push_back(std::make_unique<ClientPath>(m_loop, ports.phones, ports.callers));
    }
    m_thread = std::thread([this] { m_loop.run(); });
}

Deployment::~Deployment()
{
    m_entries.clear();
    m_agents.clear();
    m_loop.stop();
    m_thread.join();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder, ignored);
    }
}

std::unique_ptr<Process> Deployment::startProcess(const std::string &role, const std::string &node, const std::string &settings)
{
    const std::filesystem::path file = m_folder / (node + ".json");
    std::ofstream(file) << settings;
    return std::make_unique<Process>(role, file.string(), (m_folder / (node + ".log")).string());
}

bool Deployment::start()
{
    json::array contacts;
    for (const EntryPorts &ports : m_entryPorts) {
        contacts.push_back(json::object{ { "address", addressOf(ports.link) } });
    }
    for (std::size_t index = 0; index < m_options.agents; ++index) {
        const std::string zone = zones[index % zoneCount];
        const std::string node = "side-" + zone + "-" + std::to_string(index / zoneCount + 1);
        const std::uint16_t orders = freePort();
        const std::uint16_t announce = freePort();
        m_agents.push_back(startProcess("direct-agent",
                                        node,
                                        json::serialize(json::object{ { "node", node },
                                                                      { "zone", zone },
                                                                      { "announce", addressOf(announce) },
                                                                      { "upstream", addressOf(orders) },
                                                                      { "metrics", addressOf(freePort()) },
                                                                      { "store", addressOf(m_storePort) },
                                                                      { "contacts", contacts } })));
        m_upstreams.push_back(std::make_shared<Upstream>(m_loop,
                                                         Upstream::Options{ .id = "i-upstream" + std::to_string(index),
                                                                            .zone = zone,
                                                                            .ordersPort = orders,
                                                                            .announcePort = announce,
                                                                            .cpuMillis = m_options.upstreamCpuMillis },
                                                         m_record));
        onLoop([this] { m_upstreams.back()->start(); });
    }
    for (std::size_t index = 0; index < m_options.entries; ++index) {
        const std::string zone = zones[index % zoneCount];
        const std::string node = "front-" + zone + "-1";
        const EntryPorts &ports = m_entryPorts[index];
        m_entries.push_back(startProcess("direct-entry",
                                         node,
                                         json::serialize(json::object{ { "node", node },
                                                                       { "zone", zone },
                                                                       { "callers", addressOf(ports.callers) },
                                                                       { "ready", addressOf(ports.ready) },
                                                                       { "link", addressOf(ports.link) },
                                                                       { "metrics", addressOf(ports.metrics) },
                                                                       { "store", addressOf(m_storePort) },
                                                                       { "contacts", contacts } })));
    }
    const auto limit = Clock::now() + startLimit;
    std::size_t ready = 0;
    while (ready < m_options.entries && Clock::now() < limit) {
        ready += isReady(ready) ? 1 : 0;
        std::this_thread::sleep_for(50ms);
    }
    std::this_thread::sleep_for(3s); // all agents have reached all entries
    m_record.line(std::to_string(ready) + " of " + std::to_string(m_options.entries) + " entries are ready");
    return ready == m_options.entries;
}

ClientResult Deployment::call(std::uint16_t port, Request request, std::chrono::milliseconds timeout)
{
    const auto begun = Clock::now();
    const std::optional<Response> response = asio::co_spawn(m_loop, callService(port, std::move(request), timeout), asio::use_future).get();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begun).count();
    return response ? ClientResult{ response->status, response->body, millis } : ClientResult{ 0, "", millis };
}

bool Deployment::isReady(std::size_t entry)
{
    return call(m_entryPorts.at(entry).ready, Request{ "GET", "/api/ready", {}, "" }, 1000ms).status == 200;
}

std::future<ClientResult> Deployment::submit(std::size_t entry, const std::string &id, JobShape shape, std::chrono::milliseconds deadline)
{
    return submitTo(m_entryPorts.at(entry).callers, entry, id, shape, deadline);
}

std::future<ClientResult> Deployment::submitFromPhone(std::size_t entry, const std::string &id, JobShape shape, std::chrono::milliseconds deadline)
{
    return submitTo(m_entryPorts.at(entry).phones, entry, id, shape, deadline);
}

void Deployment::loseClients()
{
    onLoop([this] {
        for (const auto &path : m_paths) {
            path->loseClients();
        }
    });
    m_record.line("CLIENTS lose their network: their connections are broken, the entries see nothing");
}

std::future<ClientResult> Deployment::submitTo(std::uint16_t port, std::size_t entry, const std::string &id, JobShape shape, std::chrono::milliseconds deadline)
{
    json::array steps;
    for (int step = 0; step < shape.steps; ++step) {
        json::object row{ { "count", shape.tasks }, { "cpu", shape.cpuMillis }, { "mem-mb", 64 }, { "estimate-ms", shape.work.count() } };
        if (step > 0) {
            row["after"] = json::array{ step - 1 };
        }
        steps.push_back(row);
    }
    const json::object body{ { "spec", std::to_string(shape.work.count()) }, { "best-effort", true }, { "steps", steps } };
    const Request request{
        "POST", "/holds/" + id, { { "Host", "booking.example" }, { "X-Deadline-Ms", std::to_string(deadline.count()) } }, json::serialize(body)
    };
    m_record.line("client POST " + id + " to entry " + std::to_string(entry));
    return std::async(std::launch::async, [this, port, request, id, deadline] {
        ClientResult result = call(port, request, deadline);
        m_record.line("client POST " + id + " -> " + (result.status == 0 ? "no answer" : std::to_string(result.status) + " " + result.body) + " after "
                      + std::to_string(result.afterMillis) + " ms");
        return result;
    });
}

ClientResult Deployment::cancel(std::size_t entry, const std::string &id)
{
    ClientResult result
        = call(m_entryPorts.at(entry).callers, Request{ "DELETE", "/holds/" + id, { { "Host", "booking.example" }, { "X-Deadline-Ms", "1500" } }, "" }, 1500ms);
    m_record.line("client DELETE " + id + " -> " + std::to_string(result.status) + " " + result.body);
    return result;
}

void Deployment::onLoop(const std::function<void()> &function)
{
    std::promise<void> done;
    asio::post(m_loop, [&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace review
