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
 * News that still has to be spread: names of members and views, each with the number of datagrams that carried it.
 *
 * The content is taken from the tables when a datagram is filled, so that only the newest state of an item is sent.
 */
class UpdateQueue
{
public:
    /** Spreads the state of a member; `described` with its description, otherwise as a notice. */
    void addMember(NodeId id, bool described);

    /** Spreads a view. */
    void addView(const ShardKey &key);

    /** Adds the least spread updates to the message as far as they fit; each leaves after `limit` datagrams. */
    void fill(GossipMessage &message, const MemberTable &members, const std::map<ShardKey, ShardView> &views, std::uint32_t limit);

    /** Tells whether nothing is to be spread. */
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_items.empty();
    }

private:
    using Key = std::variant<NodeId, ShardKey>;

    struct Item
    {
        std::uint32_t sent = 0;
        bool described = false;
    };

    static std::size_t
    append(GossipMessage &message, const Key &key, const Item &item, const MemberTable &members, const std::map<ShardKey, ShardView> &views, std::size_t room);

    std::map<Key, Item> m_items;
};

} // namespace lagoonroute
