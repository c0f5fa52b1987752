#pragma once

#include <lagoonroute/configuration/configurationmessages.h>
#include <lagoonroute/dispatch/messages.h>

#include <compare>
#include <string>
#include <string_view>
#include <variant>

namespace lagoonroute
{

/** Largest message between two processes over TCP, in bytes. */
inline constexpr std::size_t maxMessageBytes = 64U << 20U;

/** Any message between two processes over TCP. */
using PeerMessage = std::variant<DispatchMessage, ConfigurationMessage>;

/** A message with its sender and recipient. */
struct Envelope
{
    NodeId from;
    Incarnation incarnation = 0; /**< Incarnation of the sender. */
    NodeId to;
    PeerMessage message;

    auto operator<=>(const Envelope &) const = default;
};

/** Encodes an envelope: a version byte, then the envelope serialised by cereal, little-endian. */
std::string encodeMessage(const Envelope &envelope);

/** Decodes an envelope. Throws MalformedMessage if the bytes are truncated, invalid or of another protocol version. */
Envelope decodeMessage(std::string_view bytes);

} // namespace lagoonroute
