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

/** What a process says of itself at /v1/status. */
struct NodeRevision
{
    std::string node;
    bool ready = false;
    Revision revision = 0;

    auto operator<=>(const NodeRevision &) const = default;
};

/** Calls the platform's store and waits for the answer; a lost one is Unknown. */
template <typename T>
concept SynchronousStore = requires(T &store, const StoreCall &call)
{
    {
        store.call(call)
        } -> std::same_as<StoreReply>;
};

/** Asks a process for its revision; nothing when it cannot be reached. */
template <typename T>
concept RevisionReader = requires(T &reader, const NodeAddress &address)
{
    {
        reader.revisionAt(address)
        } -> std::same_as<std::optional<NodeRevision>>;
};

/** What the `config` commands need of their surroundings. */
struct ConfigPorts
{
    /** Returns ports that use the store and the reader, which must outlive them, the system's clock and the given streams. */
    template <SynchronousStore Store, RevisionReader Reader>
    static ConfigPorts of(Store &store, Reader &reader, std::ostream &out, std::ostream &err)
    {
        return { .store = [&store](const StoreCall &call) { return store.call(call); },
                 .revisionAt = [&reader](const NodeAddress &address) { return reader.revisionAt(address); },
                 .pause = pauseThread,
                 .wallTime = systemTime,
                 .out = out,
                 .err = err };
    }

    std::function<StoreReply(const StoreCall &)> store;
    std::function<std::optional<NodeRevision>(const NodeAddress &)> revisionAt;
    std::function<void(Duration)> pause; /**< Waits before a call is repeated. */
    std::function<WallTime()> wallTime;
    std::ostream &out;
    std::ostream &err;

    /** Blocks the calling thread. */
    static void pauseThread(Duration time);

    /** Returns the system's calendar time. */
    static WallTime systemTime();
};

} // namespace lagoonroute
