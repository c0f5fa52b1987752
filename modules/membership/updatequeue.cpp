#include "updatequeue.h"

#include "membertable.h"

#include <algorithm>
#include <vector>

namespace lagoonroute
{

void UpdateQueue::addMember(NodeId id, bool withDescription)
{
    Item &item = m_items[id];
    item.sent = 0;
    item.withDescription = item.withDescription || withDescription;
}

void UpdateQueue::addView(const ShardKey &key)
{
    m_items[key].sent = 0;
}

std::size_t UpdateQueue::append(
    GossipMessage &message, const Key &key, const Item &item, const MemberTable &members, const std::map<ShardKey, ShardView> &views, std::size_t bytesLeft)
{
    if (const auto *shard = std::get_if<ShardKey>(&key)) {
        const ShardView &view = views.at(*shard);
        const std::size_t size = encodedSize(view);
        if (size <= bytesLeft) {
            message.views.push_back(view);
        }
        return size;
    }
    const Member &member = members.find(std::get<NodeId>(key))->member;
    const std::size_t size = item.withDescription ? encodedSize(member) : encodedSize(noticeOf(member));
    if (size > bytesLeft) {
        return size;
    }
    if (item.withDescription) {
        message.members.push_back(member);
    } else {
        message.notices.push_back(noticeOf(member));
    }
    return size;
}

void UpdateQueue::fill(GossipMessage &message, const MemberTable &members, const std::map<ShardKey, ShardView> &views, std::uint32_t limit)
{
    std::vector<std::pair<const Key, Item> *> order;
    order.reserve(m_items.size());
    std::erase_if(m_items, [&members](const auto &entry) {
        const auto *id = std::get_if<NodeId>(&entry.first);
        return id != nullptr && members.find(*id) == nullptr;
    });
    for (auto &entry : m_items) {
        order.push_back(&entry);
    }
    std::stable_sort(order.begin(), order.end(), [](const auto *left, const auto *right) { return left->second.sent < right->second.sent; });

    std::size_t bytesLeft = maxGossipBytes - encodedSize(message);
    for (auto *entry : order) {
        const std::size_t size = append(message, entry->first, entry->second, members, views, bytesLeft);
        if (size <= bytesLeft) {
            bytesLeft -= size;
            ++entry->second.sent;
        }
    }
    std::erase_if(m_items, [limit](const auto &entry) { return entry.second.sent >= limit; });
}

} // namespace lagoonroute
