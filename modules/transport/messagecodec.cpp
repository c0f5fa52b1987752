#include <lagoonroute/transport/messagecodec.h>

#include "archive.h"
#include "messageserialization.h"

namespace lagoonroute
{

namespace
{

constexpr std::uint8_t protocolVersion = 1;

} // namespace

template <class Archive>
void serialize(Archive &archive, RequestConfiguration &value)
{
    archive(value.knownRevision);
}

template <class Archive>
void serialize(Archive &archive, OfferConfiguration &value)
{
    archive(value.revision, value.document);
}

template <class Archive>
void serialize(Archive &archive, PatchConfiguration &value)
{
    archive(value.from, value.revision, value.patch);
}

template <class Archive>
void serialize(Archive &archive, Envelope &value)
{
    archive(value.from, value.incarnation, value.to, value.message);
}

std::string encodeMessage(const Envelope &envelope)
{
    std::string bytes;
    MessageOutputArchive archive(bytes);
    archive(protocolVersion, envelope);
    return bytes;
}

Envelope decodeMessage(std::string_view bytes)
{
    try {
        MessageInputArchive archive(bytes);
        std::uint8_t version = 0;
        archive(version);
        if (version != protocolVersion) {
            throw MalformedMessage("message has protocol version " + std::to_string(version) + ", expected " + std::to_string(protocolVersion));
        }
        Envelope envelope;
        archive(envelope);
        return envelope;
    } catch (const cereal::Exception &error) {
        throw MalformedMessage(error.what());
    }
}

} // namespace lagoonroute
