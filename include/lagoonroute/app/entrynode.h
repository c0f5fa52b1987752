#pragma once

#include <lagoonroute/app/settings.h>
#include <lagoonroute/store/memorystore.h>

#include <memory>

namespace lagoonroute
{

/** One entry with all its threads. */
class EntryNode
{
public:
    /**
     * Starts the entry. With `store` it uses that store within this process instead of the one that the settings name.
     * Throws NetworkError when an address is taken.
     */
    explicit EntryNode(const Settings &settings, const std::shared_ptr<SharedStore> &store = nullptr);
    ~EntryNode();

    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /** Address at which other processes reach it. */
    [[nodiscard]] NodeAddress peerAddress() const;

    /** Address at which callers are served. */
    [[nodiscard]] NodeAddress httpAddress() const;

    /** Tells balancers and peers whether to send new work here. */
    void setReady(bool ready);

    /** Whether it has a configuration that it may serve under. */
    [[nodiscard]] bool isReady() const;

    /** Announces that it takes no new work soon, and goes on serving. */
    void withdraw();

    /** Announces that it is gone. */
    void leave();

    /** Refuses new work from now on and finishes what runs. */
    void drain();

    /** Whether no work is left after drain(). */
    [[nodiscard]] bool isDrained() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
