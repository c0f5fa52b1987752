#include "standinupstream.h"

#include "timerthread.h"

#include <lagoonroute/http/httpclient.h>
#include <lagoonroute/http/httpserver.h>

#include <boost/json.hpp>

#include <atomic>
#include <future>
#include <map>
#include <utility>

namespace lagoonroute::harness
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds announcePeriod{ 300 };
constexpr std::chrono::seconds announceTimeout{ 5 };
constexpr unsigned statusOfFailure = 500;
constexpr unsigned statusOfStopped = 409;

HttpResponse failure(unsigned status)
{
    return HttpResponse{ .status = status, .body = R"({"error":"the stand-in fails"})" };
}

} // namespace

class StandInUpstream::Implementation
{
public:
    Implementation(const Options &options, StartLog &log)
        : m_options(options)
        , m_log(log)
        , m_server(HttpServer::Options().withAddress({ options.ip, 0 }), [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
    {
        m_timer.after(Duration::zero(), [this] { announce(); });
    }

    ~Implementation()
    {
        m_announcingStopped = true;
        m_timer.stop();
        std::promise<void> cleared;
        m_server.post([&] {
            m_isShutDown = true;
            m_running.clear();
            cleared.set_value();
        });
        cleared.get_future().wait();
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] NodeAddress address() const
    {
        return m_server.address();
    }

    void announceAt(const NodeAddress &address)
    {
        const std::lock_guard lock(m_addressMutex);
        m_options.announcedAddress = address;
        ++m_addressNumber;
    }

    [[nodiscard]] bool isAnnounced() const
    {
        return m_announcedNumber == m_addressNumber;
    }

    void withdraw()
    {
        m_announcingStopped = true;
        m_log.logWithdrawal(m_options.name);
        HttpRequest request{ .method = "DELETE", .target = "/v1/announce/" + m_options.service };
        m_client.callAndWait(m_options.agent, std::move(request), announceTimeout);
    }

    std::atomic<UpstreamMode> m_mode = UpstreamMode::Working;
    std::atomic<double> m_slowness = 1;
    std::atomic<bool> m_announcingStopped = false;

private:
    /** A running task. The map key consists of the job and task fields of the agent's request. */
    struct Running
    {
        std::uint64_t number = 0;
        json::object result;
        std::shared_ptr<HttpExchange> exchange;
    };

    void announce()
    {
        if (m_announcingStopped) {
            return;
        }
        const std::lock_guard lock(m_addressMutex);
        const NodeAddress own = m_options.announcedAddress.value_or(address());
        const json::object announcement{
            { "service", m_options.service }, { "ip", own.ip }, { "port", own.port }, { "slots", m_options.slots }, { "connections", m_options.slots }
        };
        HttpRequest request{ .method = "POST", .target = "/v1/announce", .body = json::serialize(announcement) };
        m_client.call(m_options.agent, std::move(request), announceTimeout, [this, number = m_addressNumber.load()](const HttpResult &result) {
            if (result.response && result.response->status == 204) {
                m_announcedNumber = number;
            }
        });
        m_timer.after(announcePeriod, [this] { announce(); });
    }

    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        const HttpRequest &request = exchange->request();
        const std::string id = fieldValue(request.fields, "Lagoonroute-Job") + "-" + fieldValue(request.fields, "Lagoonroute-Task");
        if (m_isShutDown) {
            return;
        }
        if (request.method == "DELETE") {
            stopTask(id);
            exchange->respond(HttpResponse{ .status = 204 });
            return;
        }
        json::object task = json::parse(request.body).as_object();
        const std::string key = json::value_to<std::string>(task.at("key"));
        const std::uint64_t number = m_log.start(key, task.at("task").to_number<std::size_t>(), m_options.name);
        const auto work = std::chrono::milliseconds(task.at("workMs").to_number<std::int64_t>());
        task["number"] = number;
        if (m_mode == UpstreamMode::FailingFast) {
            m_log.end(number);
            exchange->respond(failure(statusOfFailure));
            return;
        }
        m_running[id] = Running{ number, std::move(task), exchange };
        if (m_mode != UpstreamMode::NeverAnswering) {
            m_timer.after(std::chrono::duration_cast<Duration>(work * m_slowness.load()), [this, id] { m_server.post([this, id] { finish(id); }); });
        }
    }

    void finish(const std::string &id)
    {
        const auto running = m_running.extract(id);
        if (running.empty()) {
            return;
        }
        m_log.end(running.mapped().number);
        const bool fails = m_mode == UpstreamMode::FailingAfterWork;
        running.mapped().exchange->respond(fails ? failure(statusOfFailure) : HttpResponse{ .body = json::serialize(running.mapped().result) });
    }

    void stopTask(const std::string &id)
    {
        const auto running = m_running.extract(id);
        if (!running.empty()) {
            m_log.end(running.mapped().number);
            running.mapped().exchange->respond(failure(statusOfStopped));
        }
    }

    Options m_options;
    std::mutex m_addressMutex;
    std::atomic<int> m_addressNumber = 1; /**< Incremented when the announced address changes. */
    std::atomic<int> m_announcedNumber = 0; /**< Value of m_addressNumber for the address that the agent accepted last. */
    StartLog &m_log;
    bool m_isShutDown = false;
    HttpServer m_server;
    std::map<std::string, Running> m_running;
    HttpClient m_client;
    TimerThread m_timer;
};

StandInUpstream::StandInUpstream(const Options &options, StartLog &log)
    : m_implementation(std::make_unique<Implementation>(options, log))
{
}

StandInUpstream::~StandInUpstream() = default;

NodeAddress StandInUpstream::address() const
{
    return m_implementation->address();
}

void StandInUpstream::announceAt(const NodeAddress &address)
{
    m_implementation->announceAt(address);
}

void StandInUpstream::setMode(UpstreamMode mode)
{
    m_implementation->m_mode = mode;
}

void StandInUpstream::setSlowness(double factor)
{
    m_implementation->m_slowness = factor;
}

bool StandInUpstream::isAnnounced() const
{
    return m_implementation->isAnnounced();
}

void StandInUpstream::stopAnnouncing()
{
    m_implementation->m_announcingStopped = true;
}

void StandInUpstream::withdraw()
{
    m_implementation->withdraw();
}

} // namespace lagoonroute::harness
