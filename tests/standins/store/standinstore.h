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
 * Stands for the platform's store in tests: StoreModel over HTTP.
 *
 * POST /control sets the faults (see docs/design/platform-store.md); GET /control returns the counts of calls.
 */
class StandInStore
{
public:
    /** Opens the listener. Port 0 takes a free one. */
    StandInStore(const NodeAddress &address, std::uint64_t seed);
    ~StandInStore();

    StandInStore(const StandInStore &) = delete;
    StandInStore &operator=(const StandInStore &) = delete;

    /** Address at which it listens. */
    [[nodiscard]] NodeAddress address() const;

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void handleControl(HttpExchange &exchange);
    void deliver();

    StoreModel m_model;
    std::map<StoreModel::Session, std::shared_ptr<HttpExchange>> m_exchanges; /**< Calls without an answer so far. */
    StoreModel::Session m_lastSession = 0;
    std::atomic<bool> m_stopping = false;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_ticker; /**< Makes the server's thread look for answers that are due. */
};

} // namespace lagoonroute
