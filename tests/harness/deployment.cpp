#include "deployment.h"

#include "waiting.h"

#include <lagoonroute/http/httpclient.h>

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace lagoonroute::harness
{

namespace json = boost::json;

namespace
{

constexpr std::uint16_t firstPort = 10000; // Below the ephemeral port range of the system.
constexpr std::size_t zones = 3;
constexpr std::size_t agentsPerRack = 3;
constexpr std::chrono::seconds fetchTimeout{ 2 };
constexpr std::chrono::milliseconds withdrawTime{ 300 };

/** Returns a loopback address derived from the process id, so that test runners in parallel use different addresses. */
std::string uniqueLoopbackIp()
{
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + ((pid >> 16U) & 0x7FU)) + "." + std::to_string((pid >> 8U) & 0xFFU) + "." + std::to_string(pid & 0xFFU);
}

json::object jsonOf(const NodeAddress &address)
{
    return { { "ip", address.ip }, { "port", address.port } };
}

} // namespace

Deployment::Deployment(const Options &options)
    : m_options(options)
    , m_folder(std::filesystem::temp_directory_path() / ("lagoonroute-" + std::to_string(getpid())))
    , m_ip(uniqueLoopbackIp())
    , m_nextPort(firstPort)
{
    std::filesystem::create_directories(m_folder);
    if (options.store) {
        startStore();
    }
    for (std::size_t index = 0; index < options.agents; ++index) {
        addNode("agent-", index, false);
    }
    for (std::size_t index = 0; index < options.entries; ++index) {
        addNode("entry-", index, true);
    }
    std::vector<NodeAddress> entries;
    for (auto &[name, node] : m_nodes) {
        writeSettings(node);
        start(node);
        if (node.isEntry) {
            entries.push_back(node.http);
        }
    }
    for (std::size_t index = 0; index < options.agents; ++index) {
        const std::string name = "agent-" + std::to_string(index);
        const StandInUpstream::Options upstream{
            .name = "upstream-" + std::to_string(index), .ip = m_ip, .slots = options.slots, .agent = m_nodes.at(name).http
        };
        m_upstreams.push_back(std::make_unique<StandInUpstream>(upstream, m_log));
    }
    for (const auto &upstream : m_upstreams) {
        waitUntil([&upstream] { return upstream->isAnnounced(); }, "the announcement of an upstream");
    }
    for (const auto &[name, node] : m_nodes) {
        waitUntilReady(name);
        waitUntilWorkersKnown(node);
        if (options.store && node.isEntry) {
            waitUntil([this, entry = name] { return !home(entry).empty(); }, name + " to learn of the home");
        }
    }
    m_caller = std::make_unique<Caller>(std::move(entries), options.seed);
}

Deployment::~Deployment()
{
    m_caller.reset();
    m_upstreams.clear();
    for (auto &[name, node] : m_nodes) {
        node.process.reset();
    }
    if (std::uncaught_exceptions() > 0) {
        printLogs();
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

ChildProcess &Deployment::process(const std::string &name)
{
    return name == "store" ? *m_store : *m_nodes.at(name).process;
}

void Deployment::restart(const std::string &name)
{
    Node &node = m_nodes.at(name);
    node.process.reset();
    start(node);
    waitUntilReady(name);
}

int Deployment::submitConfiguration(const std::string &content, Revision reviewed)
{
    const std::string path = (m_folder / "configuration.json").string();
    std::ofstream(path) << content;
    const std::string store = "--store=" + m_storeAddress.ip + ":" + std::to_string(m_storeAddress.port);
    const std::vector<std::string> command{ LAGOONROUTE_PROGRAM, "config",       "submit", path, store, "--reviewed=" + std::to_string(reviewed),
                                            "--author=operator", "--reason=test" };
    return ChildProcess(command, (m_folder / "config.log").string()).wait();
}

std::string Deployment::home(const std::string &entry)
{
    std::ifstream log(file(m_nodes.at(entry), ".log"));
    std::string home;
    for (std::string line; std::getline(log, line);) {
        json::error_code error;
        const json::value document = json::parse(line, error);
        const json::object *fields = document.if_object();
        if (fields == nullptr || !fields->contains("home")) {
            continue;
        }
        for (const auto &[name, node] : m_nodes) {
            const std::uint64_t id = NodeId::fromName(name).value;
            const json::value &number = fields->at("home");
            if (number.is_int64() ? number.get_int64() == static_cast<std::int64_t>(id) : number.is_uint64() && number.get_uint64() == id) {
                home = name;
            }
        }
    }
    return home;
}

std::size_t Deployment::logged(const std::string &name, const std::string &text)
{
    std::ifstream log(file(m_nodes.at(name), ".log"));
    std::size_t count = 0;
    for (std::string line; std::getline(log, line);) {
        count += line.find(text) == std::string::npos ? 0 : 1;
    }
    return count;
}

std::vector<std::string> Deployment::neighbours(const std::string &name, bool inRack) const
{
    const Node &here = m_nodes.at(name);
    std::vector<std::string> names;
    for (const auto &[other, node] : m_nodes) {
        if (node.zone == here.zone && (!inRack || node.rack == here.rack)) {
            names.push_back(other);
        }
    }
    return names;
}

FaultProxy &Deployment::proxy(const std::string &name)
{
    return *m_nodes.at(name).proxy;
}

void Deployment::isolate(const std::vector<std::string> &names)
{
    Faults blocking;
    for (const std::string &name : names) {
        blocking.blockedSenders.push_back(m_nodes.at(name).peer);
    }
    for (auto &[name, node] : m_nodes) {
        const bool isIsolated = std::find(names.begin(), names.end(), name) != names.end();
        node.proxy->setFaults(isIsolated ? Faults{ .cut = true } : blocking);
    }
}

void Deployment::clearFaults()
{
    for (auto &[name, node] : m_nodes) {
        node.proxy->setFaults(Faults{});
    }
}

StandInUpstream &Deployment::upstream(std::size_t agent)
{
    return *m_upstreams.at(agent);
}

void Deployment::killUpstream(std::size_t agent)
{
    m_upstreams.at(agent).reset();
}

void Deployment::killHost(const std::string &name)
{
    process(name).signal(SIGKILL);
    const std::string prefix = "agent-";
    if (name.starts_with(prefix)) {
        killUpstream(std::stoul(name.substr(prefix.size())));
    }
}

Caller &Deployment::caller()
{
    return *m_caller;
}

StartLog &Deployment::log()
{
    return m_log;
}

std::optional<std::string> Deployment::fetch(const std::string &name, const std::string &path)
{
    HttpClient client;
    const HttpResult result = client.callAndWait(m_nodes.at(name).http, HttpRequest{ .method = "GET", .target = path }, fetchTimeout);
    if (!result.response || result.response->status != 200) {
        return std::nullopt;
    }
    return result.response->body;
}

Revision Deployment::revision(const std::string &name)
{
    const auto status = fetch(name, "/v1/status");
    return status ? json::parse(*status).at("revision").to_number<Revision>() : 0;
}

void Deployment::waitUntilReady(const std::string &name)
{
    waitUntil([&] { return fetch(name, "/ready").has_value() || !process(name).isRunning(); }, name + " to be ready");
    if (!process(name).isRunning()) {
        throw Error(name + " exited before it was ready, with status " + std::to_string(process(name).wait()));
    }
}

void Deployment::balanceByReadiness()
{
    m_caller->setBalancer([this] {
        std::vector<std::size_t> ready;
        for (std::size_t entry = 0; entry < m_options.entries; ++entry) {
            if (fetch("entry-" + std::to_string(entry), "/ready")) {
                ready.push_back(entry);
            }
        }
        return ready;
    });
}

void Deployment::waitUntilWorkersKnown(const Node &node)
{
    for (const auto &[name, other] : m_nodes) {
        if (node.isEntry || other.isEntry || name == node.name) {
            continue;
        }
        const std::string text = "\"worker\":" + std::to_string(static_cast<std::int64_t>(NodeId::fromName(name).value));
        waitUntil([&] { return logged(node.name, text) > 0; }, node.name + " to learn of the worker of " + name);
    }
}

Evidence Deployment::evidence() const
{
    Evidence evidence;
    evidence.calls = m_caller->calls();
    m_log.copyTo(evidence);
    return evidence;
}

void Deployment::addNode(const std::string &prefix, std::size_t index, bool isEntry)
{
    Node node;
    node.name = prefix + std::to_string(index);
    node.isEntry = isEntry;
    node.peer = nextAddress();
    node.http = nextAddress();
    node.zone = "zone-" + std::to_string(index % zones);
    node.rack = node.zone + "-rack-" + std::to_string(index / (zones * agentsPerRack));
    if (m_options.proxied) {
        node.proxy = std::make_unique<FaultProxy>(m_ip, node.peer, m_options.seed + index);
    }
    m_nodes.emplace(node.name, std::move(node));
}

void Deployment::writeSettings(const Node &node) const
{
    json::array contacts;
    for (const auto &[name, other] : m_nodes) {
        const NodeAddress address = other.proxy ? other.proxy->address() : other.peer;
        contacts.push_back(jsonOf(address));
    }
    json::object settings{ { "node", node.name },
                           { "peer", jsonOf(node.peer) },
                           { "http", jsonOf(node.http) },
                           { "zone", node.zone },
                           { "rack", node.rack },
                           { "contacts", std::move(contacts) },
                           { "services", json::object{ { "booking", json::object() } } },
                           { "withdrawMs", withdrawTime.count() } };
    if (node.proxy) {
        settings["advertise"] = jsonOf(node.proxy->address());
    }
    if (m_options.store) {
        settings["store"] = jsonOf(m_storeAddress);
    } else {
        json::object view{ { "service", "booking" }, { "home", "agent-0" } };
        if (m_options.agents > 1) {
            view["mirror"] = "agent-1";
        }
        settings["views"] = json::array{ std::move(view) };
    }
    std::ofstream(file(node, ".json")) << json::serialize(settings);
}

void Deployment::startStore()
{
    m_storeAddress = nextAddress();
    const std::vector<std::string> command{ LAGOONROUTE_STORE_PROGRAM, "--ip", m_storeAddress.ip, "--port", std::to_string(m_storeAddress.port) };
    m_store = std::make_unique<ChildProcess>(command, (m_folder / "store.log").string());
    waitUntil([this] { return submitConfiguration(R"({"services":{"booking":{}}})", 0) == 0; }, "the first configuration");
}

void Deployment::start(Node &node)
{
    const std::vector<std::string> command{ LAGOONROUTE_PROGRAM, node.isEntry ? "entry" : "agent", "--settings", file(node, ".json").string() };
    node.process = std::make_unique<ChildProcess>(command, file(node, ".log").string());
}

std::filesystem::path Deployment::file(const Node &node, const char *suffix) const
{
    return m_folder / (node.name + suffix);
}

NodeAddress Deployment::nextAddress()
{
    return { m_ip, m_nextPort++ };
}

void Deployment::printLogs() const
{
    constexpr std::size_t lastBytes = 1500;
    for (const auto &[name, node] : m_nodes) {
        std::ifstream log(file(node, ".log"));
        const std::string text((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
        std::cerr << "--- end of the log of " << name << "\n" << text.substr(text.size() > lastBytes ? text.size() - lastBytes : 0);
    }
}

} // namespace lagoonroute::harness
