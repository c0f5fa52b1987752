#include "standinstore.h"

#include <lagoonroute/base/errors.h>
#include <lagoonroute/http/storeprotocol.h>

#include <boost/json.hpp>

namespace lagoonroute
{

namespace
{

namespace json = boost::json;

constexpr std::chrono::milliseconds deliveryInterval{ 5 };
constexpr std::size_t maxWaitingCalls = 4096;

double numberOr(const json::object &object, const char *name, double defaultValue)
{
    const json::value *value = object.if_contains(name);
    return value == nullptr ? defaultValue : value->to_number<double>();
}

StoreFaults faultsFrom(const json::object &object)
{
    StoreFaults faults;
    const json::value *down = object.if_contains("down");
    faults.down = down != nullptr && down->as_bool();
    faults.requestLoss = numberOr(object, "requestLoss", 0);
    faults.answerLoss = numberOr(object, "answerLoss", 0);
    faults.loseAnswers = static_cast<std::uint32_t>(numberOr(object, "loseAnswers", 0));
    faults.delay = std::chrono::milliseconds(static_cast<std::int64_t>(numberOr(object, "delayMs", 0)));
    faults.writesPerSecond = static_cast<std::uint32_t>(numberOr(object, "writesPerSecond", 0));
    faults.readsPerSecond = static_cast<std::uint32_t>(numberOr(object, "readsPerSecond", 0));
    return faults;
}

} // namespace

StandInStore::StandInStore(const NodeAddress &address, std::uint64_t seed)
    : m_model(seed)
{
    m_server
        = std::make_unique<HttpServer>(HttpServer::Options().withAddress(address), [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); });
    m_deliveryThread = std::thread([this] {
        while (!m_stopping) {
            std::this_thread::sleep_for(deliveryInterval);
            m_server->post([this] { deliver(); });
        }
    });
}

StandInStore::~StandInStore()
{
    m_stopping = true;
    m_deliveryThread.join();
    m_server.reset();
}

NodeAddress StandInStore::address() const
{
    return m_server->address();
}

void StandInStore::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    try {
        if (exchange->request().target == "/control") {
            handleControl(*exchange);
            return;
        }
        const StoreOperation operation = decodeStoreCall(exchange->request());
        if (m_exchanges.size() >= maxWaitingCalls) {
            exchange->respond(encodeStoreReply(StoreReply{ .status = StoreStatus::Rejected }));
            return;
        }
        const StoreModel::Session session = ++m_lastSession;
        m_exchanges[session] = exchange;
        exchange->watchForClose([this, session] {
            m_model.dropSession(session);
            m_exchanges.erase(session);
        });
        m_model.submit(session, StoreCall{ .number = session, .operation = operation }, MonotonicClock::now());
        deliver();
    } catch (const std::exception &error) {
        exchange->respond(HttpResponse{ .status = 400, .contentType = "text/plain", .body = error.what() });
    }
}

void StandInStore::handleControl(HttpExchange &exchange)
{
    if (exchange.request().method == "POST") {
        m_model.setFaults(faultsFrom(json::parse(exchange.request().body).as_object()));
    }
    const StoreModel::Counts &counts = m_model.counts();
    exchange.respond(HttpResponse{ .body = json::serialize(json::object{ { "reads", counts.reads },
                                                                         { "swaps", counts.swaps },
                                                                         { "watches", counts.watches },
                                                                         { "leases", counts.leases },
                                                                         { "rejected", counts.rejected } }) });
}

void StandInStore::deliver()
{
    for (const StoreModel::Delivery &delivery : m_model.poll(MonotonicClock::now())) {
        const auto waiting = m_exchanges.find(delivery.session);
        if (waiting != m_exchanges.end()) {
            const auto exchange = waiting->second;
            m_exchanges.erase(waiting);
            exchange->respond(encodeStoreReply(delivery.reply));
        }
    }
}

} // namespace lagoonroute
