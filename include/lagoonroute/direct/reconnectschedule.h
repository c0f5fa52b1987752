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
        Duration addressRetention = std::chrono::seconds(60); /**< Time without a link and without being listed, after which an address is dropped. */
        std::string self; /**< Own address, never dialled; empty for none. */

        Options withSelf(std::string address) const;
    };

    explicit ReconnectSchedule(Options options);

    /** Adds addresses at which entries may be reached, "ip:port". Returns whether one of them is new. */
    bool addAddresses(const std::vector<std::string> &addresses, Instant now);

    /** Returns the addresses to dial now, and schedules their next attempts. */
    std::vector<std::string> due(Instant now);

    /** Records that a link to the address was dialled or is open under this number. */
    void dialled(const std::string &address, LinkId link);

    /** Records that a link is open, which resets the delay of its address. */
    void opened(LinkId link);

    /** Records that a link was lost; its address is dialled again after the delay. */
    void closed(LinkId link, Instant now);

    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Every known address. */
    [[nodiscard]] std::vector<std::string> addresses() const;

private:
    struct Target
    {
        LinkId link = 0; // 0 while there is none
        Duration delay{ 0 };
        Instant nextAttempt;
        Instant lastListedAt;
    };

    Options m_options;
    std::map<std::string, Target> m_targets;
};

} // namespace lagoonroute
