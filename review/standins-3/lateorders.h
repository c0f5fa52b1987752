#pragma once

#include "http.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace standins
{

/**
 * Stands between an agent and its worker and passes every call on, but for one order to start a task: that gets no answer, and
 * reaches the worker seconds later.
 */
class LateOrders
{
public:
    LateOrders(int port, int workerPort);

    /** The next order to start a task of this job is held back. */
    void holdBack(const std::string &job);

    /** Returns when the order was held back; nothing while none was. */
    [[nodiscard]] std::optional<std::int64_t> heldAt();

    /** Hands the order to the worker, as soon as it takes connections again. Returns the worker's answer. */
    Message deliver();

private:
    Message pass(const Message &message);

    int m_workerPort;
    std::mutex m_mutex;
    std::string m_job; // empty while nothing is to be held back
    std::optional<Message> m_held;
    std::optional<std::int64_t> m_heldAt;
};

} // namespace standins
