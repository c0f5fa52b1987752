#include <lagoonroute/transport/linkcodec.h>

#include "archive.h"
#include "messageserialization.h"

#include <type_traits>

namespace lagoonroute
{

namespace
{

constexpr std::uint8_t linkProtocolVersion = 2;

/**
 * Serialises a field that a later version has added at the end of a message. A message that ends before it comes from an earlier
 * version, and the field keeps its default value. An earlier version ignores the bytes of the field.
 */
template <class Archive, typename T>
void serializeAddedField(Archive &archive, T &value)
{
    if constexpr (std::is_same_v<Archive, MessageInputArchive>) {
        if (archive.remainingBytes() == 0) {
            return;
        }
    }
    archive(value);
}

/**
 * Serialises fields that a later version has added at the end of a message and that are omitted while all have their default values,
 * so that the message is then byte for byte that of an earlier version.
 */
template <class Archive, typename... Ts>
void serializeOptionalFields(Archive &archive, Ts &...values)
{
    if constexpr (std::is_same_v<Archive, MessageInputArchive>) {
        if (archive.remainingBytes() == 0) {
            return;
        }
    } else if (((values == Ts{}) && ...)) {
        return;
    }
    archive(values...);
}

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
    serializeAddedField(archive, value.features);
}

template <class Archive>
void serialize(Archive &archive, AgentOffer &value)
{
    archive(value.isOpen, value.service, value.capacity, value.labels);
}

template <class Archive>
void serialize(Archive &archive, AgentFreeCapacity &value)
{
    archive(value.free, value.startsHandled, value.isExclusive);
}

template <class Archive>
void serialize(Archive &archive, AgentHeartbeat &value)
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
    serializeAddedField(archive, value.features);
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
    serializeOptionalFields(archive, value.expectedRunTime);
}

template <class Archive>
void serialize(Archive &archive, StopTask &value)
{
    archive(value.task, value.run);
}

template <class Archive>
void serialize(Archive &archive, CapacityRequest &value)
{
    archive(value.hasWaitingTasks, value.priority, value.need);
    serializeOptionalFields(archive, value.reserve, value.expectedRunTime);
}

template <class Archive>
void serialize(Archive &archive, DocumentNotice &value)
{
    archive(value.version);
}

template <class Archive>
void serialize(Archive & /*archive*/, DocumentRequest & /*value*/)
{
}

template <class Archive>
void serialize(Archive &archive, ConfigurationDocument &value)
{
    archive(value.version, value.document);
}

template <class Archive>
void serialize(Archive &archive, EntryList &value)
{
    archive(value.addresses);
}

template <class Archive>
void serialize(Archive &archive, ZoneDrainNotice &value)
{
    archive(value.version, value.zones);
}

template <class Archive>
void serialize(Archive &archive, LostAgent &value)
{
    archive(value.agent, value.loss);
}

template <class Archive>
void serialize(Archive &archive, UnconfirmedRuns &value)
{
    archive(value.incarnation, value.number, value.jobs, value.agents);
}

template <class Archive>
void serialize(Archive &archive, ClearanceRequest &value)
{
    archive(value.entry, value.loss);
}

template <class Archive>
void serialize(Archive &archive, EntryClearance &value)
{
    archive(value.entry, value.agent, value.loss);
}

template <class Archive>
void serialize(Archive &archive, UpstreamReport &value)
{
    archive(value.id, value.incarnationStart, value.sequence, value.service, value.zone, value.capacity, value.labels, value.isDraining);
}

namespace
{

template <typename T>
std::string encode(const T &value)
{
    std::string bytes;
    MessageOutputArchive archive(bytes);
    archive(linkProtocolVersion, value);
    return bytes;
}

template <typename T>
T decode(std::string_view bytes)
{
    try {
        MessageInputArchive archive(bytes);
        std::uint8_t version = 0;
        archive(version);
        if (version != linkProtocolVersion) {
            throw MalformedMessage("link message has protocol version " + std::to_string(version) + ", expected " + std::to_string(linkProtocolVersion));
        }
        T value;
        archive(value);
        return value;
    } catch (const cereal::Exception &error) {
        throw MalformedMessage(error.what());
    }
}

} // namespace

std::string encodeLinkMessage(const LinkMessage &message)
{
    return encode(message);
}

std::string encodeUpstreamReport(const UpstreamReport &report)
{
    return encode(report);
}

UpstreamReport decodeUpstreamReport(std::string_view bytes)
{
    return decode<UpstreamReport>(bytes);
}

LinkMessage decodeLinkMessage(std::string_view bytes)
{
    return decode<LinkMessage>(bytes);
}

} // namespace lagoonroute
