#pragma once

#include <lagoonroute/base/errors.h>

#include <cereal/cereal.hpp>

#include <bit>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace lagoonroute
{

static_assert(std::endian::native == std::endian::little, "messages are little-endian");

/** Cereal archive that appends to a string. */
class MessageOutputArchive : public cereal::OutputArchive<MessageOutputArchive, cereal::AllowEmptyClassElision>
{
public:
    /** Creates an archive that appends to `bytes`. */
    explicit MessageOutputArchive(std::string &bytes)
        : OutputArchive(this)
        , m_bytes(bytes)
    {
    }

    /** Appends raw bytes. */
    void saveBinary(const void *data, std::size_t size)
    {
        m_bytes.append(static_cast<const char *>(data), size);
    }

private:
    std::string &m_bytes;
};

/**
 * Cereal archive that reads untrusted bytes from the network.
 *
 * Every read and every element count is checked against the remaining bytes, so that a malformed message cannot cause
 * an allocation out of proportion to its own size.
 */
class MessageInputArchive : public cereal::InputArchive<MessageInputArchive, cereal::AllowEmptyClassElision>
{
public:
    /** Creates an archive over `bytes`, which must outlive it. */
    explicit MessageInputArchive(std::string_view bytes)
        : InputArchive(this)
        , m_remaining(bytes)
    {
    }

    /** Reads raw bytes. Throws MalformedMessage if fewer than `size` remain. */
    void loadBinary(void *data, std::size_t size)
    {
        if (size > m_remaining.size()) {
            throw MalformedMessage("message is truncated: " + std::to_string(size) + " bytes expected, " + std::to_string(m_remaining.size()) + " left");
        }
        std::memcpy(data, m_remaining.data(), size);
        m_remaining.remove_prefix(size);
    }

    /** Number of bytes that have not been read yet. */
    [[nodiscard]] std::size_t remainingBytes() const noexcept
    {
        return m_remaining.size();
    }

private:
    std::string_view m_remaining;
};

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(MessageOutputArchive &archive, const T &value)
{
    archive.saveBinary(&value, sizeof(value));
}

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive &archive, T &value)
{
    archive.loadBinary(&value, sizeof(value));
}

inline void CEREAL_SAVE_FUNCTION_NAME(MessageOutputArchive &archive, const bool &value)
{
    const std::uint8_t byte = value ? 1 : 0;
    archive.saveBinary(&byte, sizeof(byte));
}

inline void CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive &archive, bool &value)
{
    std::uint8_t byte = 0;
    archive.loadBinary(&byte, sizeof(byte));
    value = byte != 0;
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(MessageOutputArchive &archive, const cereal::SizeTag<T> &tag)
{
    const auto size = static_cast<std::uint32_t>(tag.size);
    archive.saveBinary(&size, sizeof(size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive &archive, cereal::SizeTag<T> &tag)
{
    std::uint32_t size = 0;
    archive.loadBinary(&size, sizeof(size));
    if (size > archive.remainingBytes()) {
        throw MalformedMessage("element count " + std::to_string(size) + " exceeds the " + std::to_string(archive.remainingBytes())
                               + " bytes left in the message");
    }
    tag.size = size;
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(MessageOutputArchive &archive, const cereal::BinaryData<T> &data)
{
    archive.saveBinary(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

/** Reads elements one by one, so that memory is allocated only for elements that are present, whatever the element count claims. */
template <typename T, typename Allocator>
std::enable_if_t<!std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive &archive, std::vector<T, Allocator> &elements)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    elements.clear();
    while (elements.size() < size) {
        T element{};
        archive(element);
        elements.push_back(std::move(element));
    }
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(MessageOutputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(MessageInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

} // namespace lagoonroute

CEREAL_REGISTER_ARCHIVE(lagoonroute::MessageOutputArchive)
CEREAL_REGISTER_ARCHIVE(lagoonroute::MessageInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(lagoonroute::MessageInputArchive, lagoonroute::MessageOutputArchive)
