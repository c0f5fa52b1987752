#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace lagoonroute
{

/**
 * Work that can be put ahead of the less urgent jobs of a service without making one of them late.
 *
 * An urgent job that is late anyway may still be served while its client account waits, as long as it takes the capacity only
 * from jobs that have time to spare. Work is in thousandths of a processor times microseconds.
 */
class LatenessBudget
{
public:
    /** Adds a job that is expected to be on time even if `spareWork` more is put ahead of it. Priority 0 is the most urgent. */
    void addPunctualJob(const std::string &service, std::uint32_t priority, double spareWork);

    /** Takes work of a late job from the spare work of all less urgent jobs. Returns false, and takes nothing, if one has too little. */
    bool take(const std::string &service, std::uint32_t priority, double work);

private:
    std::map<std::string, std::map<std::uint32_t, double>> m_spareWork; // least of the jobs of each service and priority
};

} // namespace lagoonroute
