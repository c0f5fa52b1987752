#pragma once

#include <lagoonroute/http/httpserver.h>
#include <lagoonroute/store/storemodel.h>

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace lagoonroute
{

/**
 * Stand-in for the platform's store in tests: serves a StoreModel over HTTP.
 *
 * POST /control sets the faults (see docs/design/platform-store.md); GET /control returns the counts of calls.
 */
class StandInStore
{
public:
    /** Starts to listen on the address; port 0 selects a free port. `seed` initialises the random faults. */
    StandInStore(const NodeAddress &address, std::uint64_t seed);
    ~StandInStore();

    StandInStore(const StandInStore &) = delete;
    StandInStore &operator=(const StandInStore &) = delete;

    /** Address on which the store listens. */
    [[nodiscard]] NodeAddress address() const;

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void handleControl(HttpExchange &exchange);
    void deliver();

    StoreModel m_model;
    std::map<StoreModel::Session, std::shared_ptr<HttpExchange>> m_exchanges; /**< Calls that are not answered yet. */
    StoreModel::Session m_lastSession = 0;
    std::atomic<bool> m_stopping = false;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_deliveryThread; /**< Triggers periodically the delivery of due answers on the server's thread. */
};

} // namespace lagoonroute
