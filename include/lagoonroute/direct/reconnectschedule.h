#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/linkmessages.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Decides which entries a process dials, and when again after a link was lost. */
class ReconnectSchedule
{
public:
    /** Times between tries. */
    struct Options
    {
        Duration firstPause = std::chrono::milliseconds(25); /**< After a lost link; a restarted process listens soon. */
        Duration maxPause = std::chrono::milliseconds(100); /**< Doubles up to this while an entry does not answer. */
        Duration forgetAfter = std::chrono::seconds(60); /**< Without a link and without being named, an address is dropped. */
        std::string self; /**< Own address, never dialled; empty for none. */

        Options withSelf(std::string address) const;
    };

    explicit ReconnectSchedule(Options options);

    /** Addresses at which entries may be reached, "ip:port". Returns whether one is new. */
    bool learn(const std::vector<std::string> &addresses, Instant now);

    /** Returns the addresses to dial now, and counts them as dialled. */
    std::vector<std::string> due(Instant now);

    /** A link to the address was dialled or is open under this number. */
    void dialled(const std::string &address, LinkId link);

    /** Drops an address. */
    void forget(const std::string &address);

    /** A link is open. */
    void opened(LinkId link);

    /** A link is lost. */
    void closed(LinkId link, Instant now);

    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Every known address. */
    [[nodiscard]] std::vector<std::string> addresses() const;

private:
    struct Target
    {
        LinkId link = 0; // 0 while there is none
        Duration pause{ 0 };
        Instant nextTry;
        Instant namedAt;
    };

    Options m_options;
    std::map<std::string, Target> m_targets;
};

} // namespace lagoonroute
