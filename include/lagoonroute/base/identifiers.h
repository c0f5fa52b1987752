#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace lagoonroute
{

/**
 * Identity of one process of the system, derived from the unique node name in its settings.
 *
 * A restarted process keeps its NodeId and takes a higher incarnation.
 */
struct NodeId
{
    std::uint64_t value = 0;

    /** Returns the identity of the node with the given name. */
    static NodeId fromName(std::string_view name);

    /** Tells whether this names a node at all; the default value names none. */
    [[nodiscard]] bool isValid() const noexcept
    {
        return value != 0;
    }

    auto operator<=>(const NodeId &) const = default;
};

/** Life of a node: grows at every start of the process, so that two lives of one node are told apart. */
using Incarnation = std::uint64_t;

/** 128-bit digest of a byte sequence (XXH3). */
struct Digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /** Returns the digest of the given bytes. */
    static Digest of(std::string_view bytes);

    /** Returns 32 lower-case hexadecimal digits. */
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const Digest &) const = default;
};

/** Identity of a submission: the digest of service, caller and submission key. Resubmissions share it. */
struct JobId
{
    Digest digest;

    /** Returns the identity of the submission that the caller made to the service under the given key. */
    static JobId fromSubmission(std::string_view service, std::string_view caller, std::string_view key);

    /** Returns 32 lower-case hexadecimal digits. */
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const JobId &) const = default;
};

/** Position of a task within its job, from 0. */
using TaskIndex = std::uint16_t;

/** Identity of one task of one job. */
struct TaskId
{
    JobId job;
    TaskIndex index = 0;

    auto operator<=>(const TaskId &) const = default;
};

/** Number of a view of a shard; a view with a higher epoch replaces all with lower ones. */
using Epoch = std::uint64_t;

/** Number of an accepted configuration; only a higher one is ever applied. */
using Revision = std::uint64_t;

} // namespace lagoonroute

template <>
struct std::hash<lagoonroute::NodeId>
{
    std::size_t operator()(const lagoonroute::NodeId &id) const noexcept
    {
        return id.value;
    }
};

template <>
struct std::hash<lagoonroute::JobId>
{
    std::size_t operator()(const lagoonroute::JobId &id) const noexcept
    {
        return id.digest.low;
    }
};

template <>
struct std::hash<lagoonroute::TaskId>
{
    std::size_t operator()(const lagoonroute::TaskId &id) const noexcept
    {
        constexpr std::size_t goldenRatio = 0x9E3779B97F4A7C15;
        return id.job.digest.low ^ ((id.index + 1U) * goldenRatio);
    }
};
