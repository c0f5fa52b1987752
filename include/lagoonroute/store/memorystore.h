#pragma once

#include <lagoonroute/base/wakesignal.h>
#include <lagoonroute/store/storemodel.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace lagoonroute
{

/** A store within one process, shared by several MemoryStore ports on several threads. */
class SharedStore
{
public:
    /** Creates an empty store whose faults draw from the given seed. */
    explicit SharedStore(std::uint64_t seed = 1);

    /** Replaces the faults. Callable from any thread. */
    void setFaults(const StoreFaults &faults);

    /** The value of a key; version 0 when there is none. Callable from any thread. */
    [[nodiscard]] StoreEntry entry(const std::string &key) const;

    /** Calls that arrived so far. Callable from any thread. */
    [[nodiscard]] StoreModel::Counts counts() const;

private:
    friend class MemoryStore;

    StoreModel::Session open(WakeSignal &signal);
    void close(StoreModel::Session session);
    void submit(StoreModel::Session session, const StoreCall &call);
    std::vector<StoreReply> poll(StoreModel::Session session);
    void notifyAll();
    [[nodiscard]] std::optional<Instant> nextWake() const;

    mutable std::mutex m_mutex;
    StoreModel m_model;
    std::map<StoreModel::Session, std::pair<WakeSignal *, std::vector<StoreReply>>> m_sessions;
    StoreModel::Session m_lastSession = 0;
};

/** StorePort to a SharedStore: for `solo` and for tests. */
class MemoryStore
{
public:
    /** Creates a port; `signal` is notified whenever an answer may have come. */
    MemoryStore(std::shared_ptr<SharedStore> store, WakeSignal &signal);
    ~MemoryStore();

    MemoryStore(const MemoryStore &) = delete;
    MemoryStore &operator=(const MemoryStore &) = delete;

    /** Sends a call. Always returns true. */
    bool submit(StoreCall &&call);

    /** Passes the answers that have come to `consume`. */
    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        for (StoreReply &reply : poll()) {
            consume(std::move(reply));
        }
    }

    /** Time at which drain() has something new unless another call comes first. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

private:
    std::vector<StoreReply> poll();

    std::shared_ptr<SharedStore> m_store;
    StoreModel::Session m_session;
};

static_assert(StorePort<MemoryStore>);

} // namespace lagoonroute
