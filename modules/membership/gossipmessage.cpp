#include <lagoonroute/membership/gossipmessage.h>

namespace lagoonroute
{

namespace
{

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t numberBytes = 8;
constexpr std::size_t enumBytes = 1;
constexpr std::size_t portBytes = 2;
constexpr std::size_t formatVersionBytes = 1;
constexpr std::size_t variantIndexBytes = 4;
constexpr std::size_t offerNumberBytes = 2 + 2 + 4 + 4 + 2;
constexpr std::size_t noticeBytes = (3 * numberBytes) + enumBytes;
constexpr std::size_t digestItemBytes = 3 * numberBytes;

std::size_t sizeOf(const std::string &text)
{
    return lengthBytes + text.size();
}

std::size_t sizeOf(const NodeAddress &address)
{
    return sizeOf(address.ip) + portBytes;
}

struct BodySize
{
    std::size_t operator()(const Probe & /*body*/) const
    {
        return numberBytes;
    }

    std::size_t operator()(const ProbeReply & /*body*/) const
    {
        return numberBytes;
    }

    std::size_t operator()(const ProbeRequest &body) const
    {
        return (2 * numberBytes) + sizeOf(body.address);
    }

    std::size_t operator()(const UpdatesOnly & /*body*/) const
    {
        return 0;
    }

    std::size_t operator()(const StateReply & /*body*/) const
    {
        return 0;
    }

    std::size_t operator()(const StateDigest &body) const
    {
        return enumBytes + (2 * numberBytes) + lengthBytes + (body.items.size() * digestItemBytes);
    }

    std::size_t operator()(const StateRequest &body) const
    {
        return enumBytes + lengthBytes + (body.keys.size() * numberBytes);
    }
};

} // namespace

std::size_t encodedSize(const Member &member)
{
    std::size_t size
        = (4 * numberBytes) + (2 * enumBytes) + sizeOf(member.name) + sizeOf(member.address) + sizeOf(member.zone) + sizeOf(member.rack) + lengthBytes;
    for (const ServiceOffer &offer : member.offers) {
        size += sizeOf(offer.service) + offerNumberBytes;
    }
    return size;
}

std::size_t encodedSize(const ShardView &view)
{
    return sizeOf(view.key.service) + sizeof(view.key.shard) + (5 * numberBytes) + enumBytes;
}

std::size_t encodedSize(const MemberStatusNotice & /*notice*/)
{
    return noticeBytes;
}

std::size_t encodedSize(const GossipMessage &message)
{
    std::size_t size = formatVersionBytes + (6 * numberBytes) + variantIndexBytes + std::visit(BodySize{}, message.body) + (3 * lengthBytes);
    size += message.notices.size() * noticeBytes;
    for (const Member &member : message.members) {
        size += encodedSize(member);
    }
    for (const ShardView &view : message.views) {
        size += encodedSize(view);
    }
    return size;
}

} // namespace lagoonroute
