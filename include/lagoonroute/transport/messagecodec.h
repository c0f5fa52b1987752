#pragma once

#include <lagoonroute/configuration/configurationmessages.h>
#include <lagoonroute/dispatch/messages.h>

#include <compare>
#include <string>
#include <string_view>
#include <variant>

namespace lagoonroute
{

/** Largest message between two processes, in bytes. */
inline constexpr std::size_t maxMessageBytes = 64U << 20U;

/** Every message between two processes over TCP. */
using PeerMessage = std::variant<DispatchMessage, ConfigurationMessage>;

/** A message with its sender and its addressee. */
struct Envelope
{
    NodeId from;
    Incarnation incarnation = 0; /**< Life of the sender. */
    NodeId to;
    PeerMessage message;

    auto operator<=>(const Envelope &) const = default;
};

/** Returns the bytes of a message: a version byte, then the envelope as cereal writes it, little-endian. */
std::string encodeMessage(const Envelope &envelope);

/** Returns the message in the bytes. Throws MalformedMessage when they are none, or of another version. */
Envelope decodeMessage(std::string_view bytes);

} // namespace lagoonroute
