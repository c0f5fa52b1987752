#include <lagoonroute/transport/gossiptransport.h>

#include "archive.h"
#include "messageserialization.h"

namespace lagoonroute
{

namespace
{

constexpr std::uint8_t gossipVersion = 1;

/** Throws MalformedMessage if a value that was read is not an enumerator of its type. */
template <class Archive, typename Enum>
void requireKnownEnumerator(const Archive & /*archive*/, Enum value, Enum last)
{
    if (Archive::is_loading::value && value > last) {
        throw MalformedMessage("datagram has unknown enumerator " + std::to_string(static_cast<unsigned>(value)) + ", the highest is "
                               + std::to_string(static_cast<unsigned>(last)));
    }
}

} // namespace

template <class Archive>
void serialize(Archive &archive, NodeAddress &value)
{
    archive(value.ip, value.port);
}

template <class Archive>
void serialize(Archive &archive, ServiceOffer &value)
{
    archive(value.service, value.slots, value.connections, value.capacity);
}

template <class Archive>
void serialize(Archive &archive, Member &value)
{
    archive(value.id, value.name, value.role, value.incarnation, value.address, value.zone, value.rack, value.status, value.offers);
    archive(value.configurationRevision, value.version);
    requireKnownEnumerator(archive, value.role, NodeRole::Agent);
    requireKnownEnumerator(archive, value.status, MemberStatus::Dead);
}

template <class Archive>
void serialize(Archive &archive, MemberStatusNotice &value)
{
    archive(value.id, value.incarnation, value.version, value.status);
    requireKnownEnumerator(archive, value.status, MemberStatus::Dead);
}

template <class Archive>
void serialize(Archive &archive, Probe &value)
{
    archive(value.sequence);
}

template <class Archive>
void serialize(Archive &archive, ProbeReply &value)
{
    archive(value.sequence);
}

template <class Archive>
void serialize(Archive &archive, ProbeRequest &value)
{
    archive(value.sequence, value.target, value.address);
}

template <class Archive>
void serialize(Archive & /*archive*/, UpdatesOnly & /*value*/)
{
}

template <class Archive>
void serialize(Archive & /*archive*/, StateReply & /*value*/)
{
}

template <class Archive>
void serialize(Archive &archive, DigestItem &value)
{
    archive(value.key, value.major, value.minor);
}

template <class Archive>
void serialize(Archive &archive, StateDigest &value)
{
    archive(value.kind, value.firstKey, value.lastKey, value.items);
    requireKnownEnumerator(archive, value.kind, DigestKind::Views);
}

template <class Archive>
void serialize(Archive &archive, StateRequest &value)
{
    archive(value.kind, value.keys);
    requireKnownEnumerator(archive, value.kind, DigestKind::Views);
}

template <class Archive>
void serialize(Archive &archive, GossipMessage &value)
{
    archive(value.cell, value.from, value.incarnation, value.to, value.stateHash, value.configurationRevision);
    archive(value.body, value.notices, value.members, value.views);
}

std::string encodeGossip(const GossipMessage &message)
{
    std::string bytes;
    bytes.reserve(maxGossipBytes);
    MessageOutputArchive archive(bytes);
    archive(gossipVersion, message);
    return bytes;
}

GossipMessage decodeGossip(std::string_view bytes)
{
    try {
        MessageInputArchive archive(bytes);
        std::uint8_t version = 0;
        archive(version);
        if (version != gossipVersion) {
            throw MalformedMessage("datagram has gossip version " + std::to_string(version) + ", expected " + std::to_string(gossipVersion));
        }
        GossipMessage message;
        archive(message);
        if (archive.remainingBytes() != 0) {
            throw MalformedMessage("datagram has " + std::to_string(archive.remainingBytes()) + " extra bytes after its message");
        }
        return message;
    } catch (const cereal::Exception &error) {
        throw MalformedMessage(error.what());
    }
}

} // namespace lagoonroute
