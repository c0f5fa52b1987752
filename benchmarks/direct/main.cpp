#include "patterns.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>

DEFINE_uint64(seeds, 3, "number of seeds to run each pattern with");
DEFINE_string(pattern, "", "run only the patterns whose name contains this text");
DEFINE_string(json, "", "file to write the results to, as JSON");

using namespace lagoonroute;
using namespace lagoonroute::bench;

namespace
{

/** Runs a pattern with every seed and prints two lines: one for the direct roles and one for the ideal run. */
boost::json::object measure(const DirectPattern &pattern)
{
    boost::json::object row{ { "pattern", pattern.name } };
    for (const bool isIdeal : { false, true }) {
        double credit = 0;
        std::vector<double> kinds(bookingKinds().size());
        WorkloadResult counts;
        double messages = 0;
        std::size_t moves = 0;
        std::size_t refusedStarts = 0;
        for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
            const DirectResult result = isIdeal ? runIdeal(pattern, seed) : runDirect(pattern, seed);
            credit += result.credit / static_cast<double>(FLAGS_seeds);
            for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
                kinds[kind] += result.creditOfKind[kind] / static_cast<double>(FLAGS_seeds);
            }
            counts.submitted += result.counts.submitted;
            counts.late += result.counts.late;
            counts.notRun += result.counts.notRun;
            counts.failed += result.counts.failed;
            messages += result.messagesPerJob / static_cast<double>(FLAGS_seeds);
            moves += result.moves;
            refusedStarts += result.refusedStarts;
        }
        std::printf("%-38s %-7s %6.3f  %6.3f %6.3f %6.3f %7zu %6zu %6zu %6zu %6.1f %6zu %6zu\n",
                    pattern.name.c_str(),
                    isIdeal ? "ideal" : "direct",
                    credit,
                    kinds[0],
                    kinds[1],
                    kinds[2],
                    counts.submitted,
                    counts.late,
                    counts.notRun,
                    counts.failed,
                    messages,
                    moves,
                    refusedStarts);
        row[isIdeal ? "ideal" : "direct"] = { { "credit", credit },        { "submitted", counts.submitted }, { "late", counts.late },
                                              { "notRun", counts.notRun }, { "failed", counts.failed },       { "messagesPerJob", messages } };
    }
    return row;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("%-38s %-7s %6s  %6s %6s %6s %7s %6s %6s %6s %6s %6s %6s\n",
                "pattern",
                "",
                "credit",
                "lookup",
                "repric",
                "hold",
                "jobs",
                "late",
                "notrun",
                "failed",
                "msg/job",
                "moves",
                "refus");
    boost::json::array rows;
    for (const DirectPattern &pattern : directPatterns()) {
        if (pattern.name.find(FLAGS_pattern) == std::string::npos) {
            continue;
        }
        rows.push_back(measure(pattern));
    }
    if (!FLAGS_json.empty()) {
        std::ofstream(FLAGS_json) << boost::json::serialize(rows) << "\n";
    }
    return 0;
}
