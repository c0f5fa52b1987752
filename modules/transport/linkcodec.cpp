#include <lagoonroute/transport/linkcodec.h>

#include "archive.h"
#include "messageserialization.h"

namespace lagoonroute
{

namespace
{

constexpr std::uint8_t linkProtocolVersion = 1;

} // namespace

template <class Archive>
void serialize(Archive &archive, DirectTaskId &value)
{
    archive(value.job, value.step, value.index);
}

template <class Archive>
void serialize(Archive &archive, AgentHello &value)
{
    archive(value.node, value.zone, value.incarnation);
}

template <class Archive>
void serialize(Archive &archive, AgentOffer &value)
{
    archive(value.isOpen, value.service, value.capacity, value.labels);
}

template <class Archive>
void serialize(Archive &archive, AgentRoom &value)
{
    archive(value.free, value.startsHandled);
}

template <class Archive>
void serialize(Archive &archive, AgentBeat &value)
{
    archive(value.clock);
}

template <class Archive>
void serialize(Archive &archive, TaskEnded &value)
{
    archive(value.task, value.run, value.end, value.checkpoint);
}

template <class Archive>
void serialize(Archive &archive, StartRefused &value)
{
    archive(value.task, value.run, value.reason);
}

template <class Archive>
void serialize(Archive &archive, RunForecast &value)
{
    archive(value.task, value.run, value.remaining, value.isStalled);
}

template <class Archive>
void serialize(Archive &archive, EntryHello &value)
{
    archive(value.node, value.address);
}

template <class Archive>
void serialize(Archive &archive, EntryEcho &value)
{
    archive(value.clock);
}

template <class Archive>
void serialize(Archive &archive, TaskStart &value)
{
    archive(value.step, value.index, value.run, value.need, value.checkpoint);
}

template <class Archive>
void serialize(Archive &archive, StartTasks &value)
{
    archive(value.job, value.spec, value.tasks);
}

template <class Archive>
void serialize(Archive &archive, StopTask &value)
{
    archive(value.task, value.run);
}

template <class Archive>
void serialize(Archive &archive, OfferDocument &value)
{
    archive(value.version, value.document);
}

template <class Archive>
void serialize(Archive &archive, EntryList &value)
{
    archive(value.addresses);
}

std::string encodeLinkMessage(const LinkMessage &message)
{
    std::string bytes;
    MessageOutputArchive archive(bytes);
    archive(linkProtocolVersion, message);
    return bytes;
}

LinkMessage decodeLinkMessage(std::string_view bytes)
{
    try {
        MessageInputArchive archive(bytes);
        std::uint8_t version = 0;
        archive(version);
        if (version != linkProtocolVersion) {
            throw MalformedMessage("link message has protocol version " + std::to_string(version));
        }
        LinkMessage message;
        archive(message);
        return message;
    } catch (const cereal::Exception &error) {
        throw MalformedMessage(error.what());
    }
}

} // namespace lagoonroute
