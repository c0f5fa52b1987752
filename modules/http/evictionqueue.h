#pragma once

#include <list>
#include <unordered_map>

namespace lagoonroute
{

/** Connections that may be closed to make room for others, in the order in which they became idle or began an incomplete request. */
template <typename Connection>
class EvictionQueue
{
public:
    /** Adds a connection, or moves it behind all others. */
    void pushBack(Connection &connection)
    {
        remove(connection);
        m_positions[&connection] = m_order.insert(m_order.end(), &connection);
    }

    /** Removes a connection. Does nothing if it is not in the queue. */
    void remove(Connection &connection)
    {
        const auto found = m_positions.find(&connection);
        if (found != m_positions.end()) {
            m_order.erase(found->second);
            m_positions.erase(found);
        }
    }

    /** Returns the connection that has been in the queue for longest and satisfies the predicate, or null. */
    template <typename Predicate>
    [[nodiscard]] Connection *oldest(Predicate &&predicate) const
    {
        for (Connection *connection : m_order) {
            if (predicate(*connection)) {
                return connection;
            }
        }
        return nullptr;
    }

    /** Returns the connection that has been in the queue for longest, or null. */
    [[nodiscard]] Connection *oldest() const
    {
        return m_order.empty() ? nullptr : m_order.front();
    }

private:
    std::list<Connection *> m_order;
    std::unordered_map<Connection *, typename std::list<Connection *>::iterator> m_positions;
};

} // namespace lagoonroute
