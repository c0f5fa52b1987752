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

/** In-memory store of one process, shared by MemoryStore ports on several threads. */
class SharedStore
{
public:
    /** Creates an empty store whose random faults come from the given seed. */
    explicit SharedStore(std::uint64_t seed = 1);

    /** Replaces the faults. Callable from any thread. */
    void setFaults(const StoreFaults &faults);

    /** Returns the entry of a key; its version is 0 if the key does not exist. Callable from any thread. */
    [[nodiscard]] StoreEntry entry(const std::string &key) const;

    /** Returns the numbers of calls received so far. Callable from any thread. */
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

/** StorePort of a SharedStore, for `solo` and for tests. */
class MemoryStore
{
public:
    /** Creates a port that notifies `signal` whenever an answer may be available. */
    MemoryStore(std::shared_ptr<SharedStore> store, WakeSignal &signal);
    ~MemoryStore();

    MemoryStore(const MemoryStore &) = delete;
    MemoryStore &operator=(const MemoryStore &) = delete;

    /** Sends a call. Always returns true. */
    bool submit(StoreCall &&call);

    /** Passes the available answers to `consume`. */
    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        for (StoreReply &reply : poll()) {
            consume(std::move(reply));
        }
    }

    /** Returns the time at which drain() has the next answer if no other call is made before. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

private:
    std::vector<StoreReply> poll();

    std::shared_ptr<SharedStore> m_store;
    StoreModel::Session m_session;
};

static_assert(StorePort<MemoryStore>);

} // namespace lagoonroute
