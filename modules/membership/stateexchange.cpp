#include "stateexchange.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace lagoonroute
{

namespace
{

constexpr std::size_t itemsPerDigest = 50;
constexpr std::size_t maxDigests = 24;
constexpr std::size_t maxRequestKeys = 128;
constexpr std::size_t maxAnswers = 32;

using ItemsByKey = std::map<std::uint64_t, DigestItem>;

/** Packs items into datagrams. Drops the items that do not fit into maxAnswers datagrams. */
class AnswerPacker
{
public:
    void add(const Member &member)
    {
        if (GossipMessage *message = messageFor(encodedSize(member))) {
            message->members.push_back(member);
        }
    }

    void add(const MemberStatusNotice &notice)
    {
        if (GossipMessage *message = messageFor(encodedSize(notice))) {
            message->notices.push_back(notice);
        }
    }

    void add(const ShardView &view)
    {
        if (GossipMessage *message = messageFor(encodedSize(view))) {
            message->views.push_back(view);
        }
    }

    void addRequest(StateRequest request)
    {
        if (!request.keys.empty()) {
            m_messages.push_back({ .body = std::move(request) });
        }
    }

    std::vector<GossipMessage> take()
    {
        return std::move(m_messages);
    }

private:
    GossipMessage *messageFor(std::size_t size)
    {
        if (m_messages.empty() || m_used + size > maxGossipBytes) {
            if (m_messages.size() >= maxAnswers) {
                return nullptr;
            }
            m_messages.push_back({ .body = StateReply{} });
            m_used = encodedSize(m_messages.back());
        }
        m_used += size;
        return &m_messages.back();
    }

    std::vector<GossipMessage> m_messages;
    std::size_t m_used = 0;
};

void appendDigests(DigestKind kind, const std::vector<DigestItem> &items, std::vector<GossipBody> &bodies)
{
    StateDigest digest{ .kind = kind };
    for (const DigestItem &item : items) {
        digest.items.push_back(item);
        if (digest.items.size() == itemsPerDigest) {
            digest.lastKey = item.key;
            const std::uint64_t next = item.key + 1;
            bodies.emplace_back(std::exchange(digest, StateDigest{ .kind = kind, .firstKey = next }));
        }
    }
    digest.lastKey = std::numeric_limits<std::uint64_t>::max();
    bodies.emplace_back(std::move(digest));
}

ItemsByKey byKey(const StateDigest &digest)
{
    ItemsByKey items;
    for (const DigestItem &item : digest.items) {
        items[item.key] = item;
    }
    return items;
}

bool isInRange(const StateDigest &digest, std::uint64_t key)
{
    return key >= digest.firstKey && key <= digest.lastKey;
}

void addKey(StateRequest &missing, std::uint64_t key)
{
    if (missing.keys.size() < maxRequestKeys) {
        missing.keys.push_back(key);
    }
}

} // namespace

std::uint64_t digestKeyOf(const ShardKey &key)
{
    return mixBits(Digest::of(key.service).low + key.shard);
}

std::uint64_t hashOf(const ShardView &view)
{
    return mixBits(digestKeyOf(view.key) ^ mixBits(view.epoch));
}

StateExchange::StateExchange(const MemberTable &members, const ViewTable &views)
    : m_members(members)
    , m_views(views)
{
}

std::vector<GossipBody> StateExchange::digests() const
{
    std::vector<DigestItem> members;
    for (const auto &[id, entry] : m_members.entries()) {
        if (entry.member.status != MemberStatus::Dead) {
            members.push_back({ id.value, entry.member.incarnation, entry.member.version });
        }
    }
    std::vector<DigestItem> views;
    for (const auto &[key, view] : m_views) {
        views.push_back({ digestKeyOf(key), view.epoch, 0 });
    }
    std::sort(views.begin(), views.end());

    std::vector<GossipBody> bodies;
    appendDigests(DigestKind::Members, members, bodies);
    appendDigests(DigestKind::Views, views, bodies);
    if (bodies.size() > maxDigests) {
        bodies.resize(maxDigests);
    }
    return bodies;
}

std::vector<GossipMessage> StateExchange::answer(const StateDigest &digest) const
{
    return digest.kind == DigestKind::Members ? answerMembers(digest) : answerViews(digest);
}

std::vector<GossipMessage> StateExchange::answerMembers(const StateDigest &digest) const
{
    const ItemsByKey theirs = byKey(digest);
    AnswerPacker packer;
    for (const auto &[id, entry] : m_members.entries()) {
        if (!isInRange(digest, id.value)) {
            continue;
        }
        const bool isDead = entry.member.status == MemberStatus::Dead;
        const auto known = theirs.find(id.value);
        if (known == theirs.end()) {
            if (!isDead) {
                packer.add(entry.member);
            }
            continue;
        }
        const auto mine = std::tuple(entry.member.incarnation, entry.member.version);
        const auto other = std::tuple(known->second.major, known->second.minor);
        if (isDead && mine >= other) {
            packer.add(noticeOf(entry.member));
        } else if (!isDead && mine > other) {
            packer.add(entry.member);
        }
    }
    StateRequest missing{ .kind = DigestKind::Members };
    for (const auto &[key, item] : theirs) {
        const MemberEntry *entry = m_members.find(NodeId{ key });
        if (entry == nullptr || std::tuple(item.major, item.minor) > std::tuple(entry->member.incarnation, entry->member.version)) {
            addKey(missing, key);
        }
    }
    packer.addRequest(std::move(missing));
    return packer.take();
}

std::vector<GossipMessage> StateExchange::answerViews(const StateDigest &digest) const
{
    ItemsByKey theirs = byKey(digest);
    AnswerPacker packer;
    for (const auto &[key, view] : m_views) {
        const std::uint64_t digestKey = digestKeyOf(key);
        if (!isInRange(digest, digestKey)) {
            continue;
        }
        const auto known = theirs.find(digestKey);
        if (known == theirs.end() || known->second.major < view.epoch) {
            packer.add(view);
        }
        if (known != theirs.end() && known->second.major <= view.epoch) {
            theirs.erase(known);
        }
    }
    StateRequest missing{ .kind = DigestKind::Views };
    for (const auto &[key, item] : theirs) {
        addKey(missing, key);
    }
    packer.addRequest(std::move(missing));
    return packer.take();
}

std::vector<GossipMessage> StateExchange::answer(const StateRequest &request) const
{
    AnswerPacker packer;
    for (const std::uint64_t key : request.keys) {
        if (request.kind == DigestKind::Members) {
            if (const MemberEntry *entry = m_members.find(NodeId{ key })) {
                packer.add(entry->member);
            }
            continue;
        }
        for (const auto &[shard, view] : m_views) {
            if (digestKeyOf(shard) == key) {
                packer.add(view);
            }
        }
    }
    return packer.take();
}

} // namespace lagoonroute
