#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/linkmessages.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Decides which entries a process dials, and when it redials after a link was lost. */
class ReconnectSchedule
{
public:
    /** Delays between attempts. */
    struct Options
    {
        Duration firstDelay = std::chrono::milliseconds(25); /**< Delay after a lost link; a restarted process listens soon. */
        Duration maxDelay = std::chrono::milliseconds(100); /**< The delay doubles up to this while an entry does not answer. */
        Duration recentTime = std::chrono::seconds(15); /**< Time since an address was linked or listed, after which the delay doubles further. */
        Duration maxLaterDelay = std::chrono::seconds(1); /**< Longest delay after that. */
        Duration addressRetention = std::chrono::seconds(60); /**< Time since an address was last linked or listed, after which it is dropped. */
        std::size_t leastAttempts = 30; /**< Attempts since then without which it is not dropped: a suspended host makes none. */
        std::string self; /**< Own address, never dialled; empty for none. */

        Options withSelf(std::string address) const;
    };

    explicit ReconnectSchedule(Options options);

    /**
     * Adds addresses at which entries may be reached, "ip:port". Returns whether one of them is new, or was not linked or listed for so
     * long that neighbours may be about to drop it.
     */
    bool addAddresses(const std::vector<std::string> &addresses, Instant now);

    /** Returns the addresses to dial now, and schedules their next attempts. */
    std::vector<std::string> due(Instant now);

    /** Records that a link to the address was dialled or is open under this number. */
    void dialled(const std::string &address, LinkId link);

    /** Records that a link is open, which resets the delay of its address. */
    void opened(LinkId link, Instant now);

    /** Records that a link was lost; its address is dialled again after the delay. */
    void closed(LinkId link, Instant now);

    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** The addresses to pass on: those that are linked, or were so lately, or have just been listed for the first time. */
    [[nodiscard]] std::vector<std::string> addresses(Instant now) const;

    /** Number of known addresses. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_targets.size();
    }

private:
    struct Target
    {
        LinkId link = 0; // 0 while there is none
        bool isOpen = false; // the link has been opened
        bool isBack = false; // opened after so long that neighbours may have dropped the address, and not listed since
        Duration delay{ 0 };
        Instant nextAttempt;
        Instant usedAt; // last time at which it was listed, or a link was open
        std::optional<Instant> linkedAt; // last time at which a link was open
        std::size_t attempts = 0; // since usedAt
    };

    [[nodiscard]] bool isStale(const Target &target, Instant now) const;
    [[nodiscard]] Duration delayLimit(const Target &target, Instant now) const;

    Options m_options;
    std::map<std::string, Target> m_targets;
};

} // namespace lagoonroute
