#pragma once

#include <lagoonroute/membership/gossipmessage.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>

namespace lagoonroute
{

class MemberTable;

/**
 * Updates that still have to be spread: identities of members and keys of views, each with the number of datagrams that
 * carried it.
 *
 * The content is read from the tables when a datagram is filled, so that only the newest state of an item is sent.
 */
class UpdateQueue
{
public:
    /** Queues the state of a member: its description if `withDescription`, otherwise a notice. */
    void addMember(NodeId id, bool withDescription);

    /** Queues a view. */
    void addView(const ShardKey &key);

    /** Adds updates that fit to the message, least sent ones first, and removes each after `limit` datagrams. */
    void fill(GossipMessage &message, const MemberTable &members, const std::map<ShardKey, ShardView> &views, std::uint32_t limit);

    /** Returns whether no update is queued. */
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_items.empty();
    }

private:
    using Key = std::variant<NodeId, ShardKey>;

    struct Item
    {
        std::uint32_t sent = 0;
        bool withDescription = false;
    };

    static std::size_t append(GossipMessage &message,
                              const Key &key,
                              const Item &item,
                              const MemberTable &members,
                              const std::map<ShardKey, ShardView> &views,
                              std::size_t bytesLeft);

    std::map<Key, Item> m_items;
};

} // namespace lagoonroute
