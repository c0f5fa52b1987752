#pragma once

#include <lagoonroute/direct/linkmessages.h>
#include <lagoonroute/direct/upstreamevents.h>

#include <string>
#include <string_view>

namespace lagoonroute
{

/** Largest message on a link, in bytes. It has to hold a configuration document of 1 MB and its frame. */
inline constexpr std::size_t maxLinkMessageBytes = 4U << 20U;

/** Encodes a message: a version byte, then the message serialised by cereal, little-endian. */
std::string encodeLinkMessage(const LinkMessage &message);

/** Decodes a message. Throws MalformedMessage if the bytes are truncated, invalid or of another protocol version. */
LinkMessage decodeLinkMessage(std::string_view bytes);

/** Encodes an upstream's report, which the agent stores for its next incarnation. */
std::string encodeUpstreamReport(const UpstreamReport &report);

/** Decodes an upstream's report. Throws MalformedMessage if the bytes are truncated, invalid or of another protocol version. */
UpstreamReport decodeUpstreamReport(std::string_view bytes);

} // namespace lagoonroute
