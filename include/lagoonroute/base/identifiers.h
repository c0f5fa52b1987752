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
 * A restarted process has the same NodeId and a higher incarnation.
 */
struct NodeId
{
    std::uint64_t value = 0;

    /** Returns the identity of the node with the given name. */
    static NodeId fromName(std::string_view name);

    /** Returns whether this identifies a node; false for the default value. */
    [[nodiscard]] bool isValid() const noexcept
    {
        return value != 0;
    }

    auto operator<=>(const NodeId &) const = default;
};

/** Number of one run of a process from start to exit. It increases at every start, which distinguishes successive runs of a node. */
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

/** Identity of a submission: the digest of service, caller and submission key. A resubmission has the same identity. */
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

/** Number of a view of a shard. A view replaces all views with a lower epoch. */
using Epoch = std::uint64_t;

/** Number of an accepted configuration. A process applies only a revision higher than its current one. */
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
