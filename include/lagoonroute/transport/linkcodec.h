#pragma once

#include <lagoonroute/direct/linkmessages.h>
#include <lagoonroute/direct/upstreamevents.h>

#include <string>
#include <string_view>

namespace lagoonroute
{

/** Largest message on a link, in bytes: a configuration of 1 MB and its frame. */
inline constexpr std::size_t maxLinkMessageBytes = 4U << 20U;

/** Returns the bytes of a message: a version byte, then the message as cereal writes it, little-endian. */
std::string encodeLinkMessage(const LinkMessage &message);

/** Returns the message in the bytes. Throws MalformedMessage when there is none, or of another version. */
LinkMessage decodeLinkMessage(std::string_view bytes);

/** Returns the bytes of an upstream's report, for the agent's next life. */
std::string encodeUpstreamReport(const UpstreamReport &report);

/** Returns the report in the bytes. Throws MalformedMessage when there is none, or of another version. */
UpstreamReport decodeUpstreamReport(std::string_view bytes);

} // namespace lagoonroute
