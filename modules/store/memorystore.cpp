#include <lagoonroute/store/memorystore.h>

#include <utility>

namespace lagoonroute
{

SharedStore::SharedStore(std::uint64_t seed)
    : m_model(seed)
{
}

void SharedStore::setFaults(const StoreFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_model.setFaults(faults);
    notifyAll();
}

StoreEntry SharedStore::entry(const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    return m_model.entry(key);
}

StoreModel::Counts SharedStore::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_model.counts();
}

StoreModel::Session SharedStore::open(WakeSignal &signal)
{
    const std::lock_guard lock(m_mutex);
    const StoreModel::Session session = ++m_lastSession;
    m_sessions[session].first = &signal;
    return session;
}

void SharedStore::close(StoreModel::Session session)
{
    const std::lock_guard lock(m_mutex);
    m_model.dropSession(session);
    m_sessions.erase(session);
}

void SharedStore::submit(StoreModel::Session session, const StoreCall &call)
{
    const std::lock_guard lock(m_mutex);
    m_model.submit(session, call, MonotonicClock::now());
    notifyAll();
}

void SharedStore::notifyAll()
{
    for (const auto &[session, mailbox] : m_sessions) {
        mailbox.first->notify();
    }
}

std::vector<StoreReply> SharedStore::poll(StoreModel::Session session)
{
    const std::lock_guard lock(m_mutex);
    for (StoreModel::Delivery &delivery : m_model.poll(MonotonicClock::now())) {
        const auto mailbox = m_sessions.find(delivery.session);
        if (mailbox == m_sessions.end()) {
            continue;
        }
        mailbox->second.second.push_back(std::move(delivery.reply));
        if (delivery.session != session) {
            mailbox->second.first->notify();
        }
    }
    return std::exchange(m_sessions.at(session).second, {});
}

std::optional<Instant> SharedStore::nextWake() const
{
    const std::lock_guard lock(m_mutex);
    return m_model.nextWake();
}

MemoryStore::MemoryStore(std::shared_ptr<SharedStore> store, WakeSignal &signal)
    : m_store(std::move(store))
    , m_session(m_store->open(signal))
{
}

MemoryStore::~MemoryStore()
{
    m_store->close(m_session);
}

bool MemoryStore::submit(StoreCall &&call)
{
    m_store->submit(m_session, call);
    return true;
}

std::vector<StoreReply> MemoryStore::poll()
{
    return m_store->poll(m_session);
}

std::optional<Instant> MemoryStore::nextWake() const
{
    return m_store->nextWake();
}

} // namespace lagoonroute
