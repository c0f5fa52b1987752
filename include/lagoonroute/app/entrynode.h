#pragma once

#include <lagoonroute/app/settings.h>
#include <lagoonroute/store/memorystore.h>

#include <memory>

namespace lagoonroute
{

/** Entry process with all its threads. */
class EntryNode
{
public:
    /**
     * Starts the entry. When `store` is given, this in-process store replaces the one named in the settings.
     * Throws NetworkError when an address is already in use.
     */
    explicit EntryNode(const Settings &settings, const std::shared_ptr<SharedStore> &store = nullptr);
    ~EntryNode();

    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /** Returns the address at which other processes reach the entry. */
    [[nodiscard]] NodeAddress peerAddress() const;

    /** Returns the address at which callers are served. */
    [[nodiscard]] NodeAddress httpAddress() const;

    /** Sets whether the status pages report the entry as ready, so that load balancers and peers send new work here. */
    void setReady(bool ready);

    /** Returns whether a configuration is in force that the entry may serve under. */
    [[nodiscard]] bool isReady() const;

    /** Announces that the entry will soon refuse new work, and continues to serve callers. */
    void withdraw();

    /** Announces that the entry has left the cell. */
    void leave();

    /** Refuses new work from now on and finishes the work that is running. */
    void drain();

    /** Returns whether all work has ended after drain(). */
    [[nodiscard]] bool isDrained() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
