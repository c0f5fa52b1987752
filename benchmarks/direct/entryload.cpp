#include <lagoonroute/direct/linkmessages.h>
#include <lagoonroute/http/httpclient.h>
#include <lagoonroute/transport/linkendpoint.h>

#include <harness/childprocess.h>
#include <harness/waiting.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <random>
#include <sstream>

DEFINE_string(program, LAGOONROUTE_PROGRAM, "program to measure");
DEFINE_string(prefix, "", "command that runs the program, for example \"strace -c -f -o FILE\"");
DEFINE_uint64(agents, 54, "number of agents");
DEFINE_double(jobs, 95, "jobs a second; 0 measures heartbeats and timers alone");
DEFINE_uint64(tasks, 4, "tasks of a job");
DEFINE_uint64(work, 150, "run time of a task, in milliseconds");
DEFINE_uint64(seconds, 10, "time of the measurement");
DEFINE_uint64(port, 15'700, "first of three ports that are used on 127.0.0.1");

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

/** Agents with free capacity at all times, in one process: each answers starts, sends heartbeats, and announces its free capacity. */
class AgentCrowd
{
public:
    AgentCrowd(boost::asio::io_context &loop, NodeAddress entry, std::string document)
        : m_loop(loop)
        , m_entry(std::move(entry))
        , m_document(std::move(document))
        , m_links(loop, std::nullopt, { [](LinkId) {}, [this](LinkId link, LinkMessage &&message) { receive(link, message); }, [](LinkId) {}, [] {} })
    {
    }

    void dial(std::size_t count)
    {
        for (std::size_t agent = 0; agent < count; ++agent) {
            m_agents[m_links.dial(m_entry)].name = "agent-" + std::to_string(agent);
        }
    }

    [[nodiscard]] std::size_t greeted() const
    {
        return m_greeted;
    }

    [[nodiscard]] std::size_t starts() const
    {
        return m_starts;
    }

private:
    struct Agent
    {
        std::string name;
        Resources free{ 64'000, 1 << 17, 0 };
        std::uint64_t handled = 0;
        bool isAnnouncing = false;
    };

    void after(Duration delay, std::function<void()> action)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, delay);
        timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &) { action(); });
    }

    void receive(LinkId link, const LinkMessage &message)
    {
        Agent &agent = m_agents[link];
        if (std::holds_alternative<EntryHello>(message)) {
            ++m_greeted;
            m_links.send(link, AgentHello{ agent.name, "plateau", 1 });
            m_links.send(link, AgentOffer{ true, "booking", agent.free, { "rack-" + std::to_string(link % 9) } });
            m_links.send(link, DocumentNotice{ 1 });
            announce(link);
            after(Duration(static_cast<Duration::rep>(200'000 * link / 54)), [this, link] { beat(link); });
        } else if (std::holds_alternative<DocumentRequest>(message)) {
            m_links.send(link, ConfigurationDocument{ 1, m_document });
        } else if (const auto *start = std::get_if<StartTasks>(&message)) {
            for (const TaskStart &task : start->tasks) {
                ++m_starts;
                ++agent.handled;
                agent.free = agent.free - task.need;
                const DirectTaskId id{ start->job, task.step, task.index };
                const Duration work = std::chrono::milliseconds(FLAGS_work) * (70 + static_cast<int>(m_random() % 60)) / 100;
                after(50ms, [this, link, id, run = task.run, work] { m_links.send(link, RunForecast{ id, run, work - 50ms, false }); });
                after(work, [this, link, id, run = task.run, need = task.need] {
                    m_agents[link].free = m_agents[link].free + need;
                    m_links.send(link, TaskEnded{ id, run, RunEnd::Done, "" });
                    announce(link);
                });
            }
            announce(link);
        }
    }

    void beat(LinkId link)
    {
        m_links.send(link, AgentHeartbeat{ 1 });
        after(200ms, [this, link] { beat(link); });
    }

    /** Announces the free capacity, at most every 5 ms. */
    void announce(LinkId link)
    {
        if (std::exchange(m_agents[link].isAnnouncing, true)) {
            return;
        }
        after(5ms, [this, link] {
            Agent &agent = m_agents[link];
            agent.isAnnouncing = false;
            m_links.send(link, AgentFreeCapacity{ agent.free, agent.handled, false });
        });
    }

    boost::asio::io_context &m_loop;
    NodeAddress m_entry;
    std::string m_document;
    std::map<LinkId, Agent> m_agents;
    std::mt19937_64 m_random;
    std::size_t m_greeted = 0;
    std::size_t m_starts = 0;
    LinkEndpoint m_links;
};

std::string configuration()
{
    namespace json = boost::json;
    return json::serialize(json::object{ { "version", 1 },
                                         { "routes",
                                           json::array{ json::object{ { "name", "lookup" },
                                                                      { "host", "booking.example" },
                                                                      { "prefix", "/lookup/" },
                                                                      { "service", "booking" },
                                                                      { "timeout-ms", 5000 },
                                                                      { "target-latency-ms", 2000 },
                                                                      { "priority", 0 },
                                                                      { "max-attempts", 2 },
                                                                      { "stretch", 1.6 } } } } });
}

HttpRequest submission(std::uint64_t number)
{
    namespace json = boost::json;
    const json::object step{ { "count", FLAGS_tasks }, { "cpu", 5100 }, { "mem-mb", 64 }, { "estimate-ms", FLAGS_work }, { "affinity", "rack-3" } };
    const json::object body{ { "spec", "lookup of dates" }, { "best-effort", true }, { "steps", json::array{ step } } };
    return HttpRequest{ .method = "POST",
                        .target = "/lookup/job-" + std::to_string(number),
                        .fields = { { "Host", "booking.example" }, { "X-Deadline-Ms", "1500" } },
                        .body = json::serialize(body) };
}

std::string textOf(const NodeAddress &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

/** Returns the processor time and the voluntary context switches of the first process whose command line names the settings file. */
struct ProcessUse
{
    double userSeconds = 0;
    double systemSeconds = 0;
    std::uint64_t switches = 0;
};

ProcessUse useOf(const std::string &pid)
{
    ProcessUse use;
    std::ifstream stat("/proc/" + pid + "/stat");
    std::string field;
    for (int index = 1; index <= 15 && stat >> field; ++index) {
        if (index == 14) {
            use.userSeconds = std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
        } else if (index == 15) {
            use.systemSeconds = std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
        }
    }
    std::ifstream status("/proc/" + pid + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("voluntary_ctxt_switches:", 0) == 0) {
            use.switches = std::stoull(line.substr(line.find(':') + 1));
        }
    }
    return use;
}

} // namespace

/** Puts load on a real `direct-entry` process and prints what it used. */
int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto addressAt = [](std::uint64_t offset) { return NodeAddress{ "127.0.0.1", static_cast<std::uint16_t>(FLAGS_port + offset) }; };
    const std::filesystem::path folder = std::filesystem::temp_directory_path() / ("entry-load-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const std::string settings = (folder / "entry.json").string();
    std::ofstream(settings) << boost::json::serialize(boost::json::object{ { "node", "entry-0" },
                                                                           { "callers", textOf(addressAt(0)) },
                                                                           { "link", textOf(addressAt(1)) },
                                                                           { "ready", textOf(addressAt(2)) },
                                                                           { "store", "127.0.0.1:9" },
                                                                           { "contacts", boost::json::array{} } });
    std::vector<std::string> command;
    std::istringstream words(FLAGS_prefix);
    for (std::string word; words >> word;) {
        command.push_back(word);
    }
    command.insert(command.end(),
                   { "/bin/sh", "-c", "echo $$ > " + (folder / "pid").string() + "; exec " + FLAGS_program + " direct-entry --settings " + settings });
    harness::ChildProcess entry(command, (folder / "entry.log").string());
    HttpClient client;
    const auto isServing = [&] {
        const HttpResult result = client.callAndWait(addressAt(2), HttpRequest{ .method = "GET", .target = "/api/ready", .fields = {}, .body = "" }, 1s);
        return result.response.has_value();
    };
    harness::waitUntil(isServing, "the entry to listen");

    boost::asio::io_context loop;
    AgentCrowd agents(loop, addressAt(1), configuration());
    agents.dial(FLAGS_agents);
    loop.run_for(3s);
    std::string pid;
    std::ifstream(folder / "pid") >> pid;
    std::uint64_t number = 0;
    std::uint64_t completed = 0;
    std::mt19937_64 random;
    boost::asio::steady_timer timer(loop);
    std::function<void()> submitNext = [&] {
        client.call(addressAt(0), submission(++number), 2s, [&completed](const HttpResult &result) {
            completed += result.response && result.response->status == 200 ? 1 : 0;
        });
        timer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(std::exponential_distribution<>(FLAGS_jobs)(random) * 1e6)));
        timer.async_wait([&](const boost::system::error_code &error) {
            if (!error) {
                submitNext();
            }
        });
    };
    const ProcessUse before = useOf(pid);
    if (FLAGS_jobs > 0) {
        submitNext();
    }
    loop.run_for(std::chrono::seconds(FLAGS_seconds));
    timer.cancel();
    const ProcessUse after = useOf(pid);
    std::printf("agents %zu, submitted %llu, starts %zu, user %.2f s, system %.2f s, voluntary switches %llu\n",
                agents.greeted(),
                static_cast<unsigned long long>(number),
                agents.starts(),
                after.userSeconds - before.userSeconds,
                after.systemSeconds - before.systemSeconds,
                static_cast<unsigned long long>(after.switches - before.switches));
    loop.run_for(2s);
    std::printf("completed %llu\n", static_cast<unsigned long long>(completed));
    kill(std::stoi(pid), SIGTERM);
    loop.run_for(3s);
    entry.wait();
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
    return 0;
}
