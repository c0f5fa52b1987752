#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/membership/member.h>
#include <lagoonroute/store/storeport.h>

#include <concepts>
#include <functional>
#include <optional>
#include <ostream>
#include <string>

namespace lagoonroute
{

/** Status that a process reports at /v1/status. */
struct NodeRevision
{
    std::string node;
    bool ready = false;
    Revision revision = 0;

    auto operator<=>(const NodeRevision &) const = default;
};

/** Client of the platform's store that blocks until the answer arrives; a call without an answer returns the status Unknown. */
template <typename T>
concept SynchronousStore = requires(T &store, const StoreCall &call)
{
    {
        store.call(call)
        } -> std::same_as<StoreReply>;
};

/** Reads the revision of a process; returns nothing when the process is unreachable. */
template <typename T>
concept RevisionReader = requires(T &reader, const NodeAddress &address)
{
    {
        reader.revisionAt(address)
        } -> std::same_as<std::optional<NodeRevision>>;
};

/** External functions and streams that the `config` commands use. */
struct ConfigPorts
{
    /** Returns ports on the store, the reader, the system's clock and the given streams. All arguments must outlive the ports. */
    template <SynchronousStore Store, RevisionReader Reader>
    static ConfigPorts of(Store &store, Reader &reader, std::ostream &out, std::ostream &err)
    {
        return { .store = [&store](const StoreCall &call) { return store.call(call); },
                 .revisionAt = [&reader](const NodeAddress &address) { return reader.revisionAt(address); },
                 .sleep = sleepThread,
                 .wallTime = systemTime,
                 .out = out,
                 .err = err };
    }

    std::function<StoreReply(const StoreCall &)> store;
    std::function<std::optional<NodeRevision>(const NodeAddress &)> revisionAt;
    std::function<void(Duration)> sleep; /**< Blocks for the delay before a retry. */
    std::function<WallTime()> wallTime;
    std::ostream &out;
    std::ostream &err;

    /** Blocks the calling thread for the given time. */
    static void sleepThread(Duration time);

    /** Returns the system's calendar time. */
    static WallTime systemTime();
};

} // namespace lagoonroute
