// A machine with a worker and its agent is suspended for three seconds and goes on.

#include "../standins-2/deployment.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <thread>

namespace
{

using namespace std::chrono_literals;

constexpr int rounds = 4;
constexpr int jobsPerRound = 6;
/** Longest work of a task of the site, and the time for which clients wait. */
constexpr int work = 3600;
constexpr int deadline = 9000;
constexpr auto suspension = 3s;

/** Returns how many tasks had two runs at the same time while neither worker was suspended. */
int countOverlaps(const std::vector<review::Start> &starts, std::int64_t resumedAt, const std::string &suspended, review::Record &record)
{
    int overlaps = 0;
    for (const review::Start &first : starts) {
        for (const review::Start &second : starts) {
            const bool isOfSuspended = first.worker == suspended && second.worker != suspended && first.task == second.task;
            const std::int64_t begin = std::max(resumedAt, second.at);
            const std::int64_t end = std::min(first.endedAt, second.endedAt);
            if (isOfSuspended && first.at < resumedAt && second.at < resumedAt && end > begin) {
                record.write("two runs at once: " + first.task + " run " + std::to_string(first.run) + " at " + first.worker + " and run "
                             + std::to_string(second.run) + " at " + second.worker + " from " + std::to_string(begin) + " to " + std::to_string(end) + " ms");
                ++overlaps;
            }
        }
    }
    return overlaps;
}

int run(const std::string &recordPath)
{
    review::Record record(recordPath);
    review::Deployment deployment({}, record);
    std::vector<std::future<review::Response>> sent;
    std::vector<std::pair<std::string, std::int64_t>> resumed;
    for (int round = 0; round < rounds; ++round) {
        const std::size_t machine = static_cast<std::size_t>(round) % deployment.workers.size();
        for (int job = 0; job < jobsPerRound; ++job) {
            sent.push_back(std::async(std::launch::async, [&deployment, round, job] {
                return deployment.submit(static_cast<std::size_t>(job) % 2, "0000000000f" + std::to_string(10'000 + 100 * round + job), 1, 2, work, deadline);
            }));
        }
        std::this_thread::sleep_for(500ms);
        if (review::isTroubled()) {
            deployment.agents[machine]->signal(SIGSTOP);
            deployment.workers[machine]->suspend();
            std::this_thread::sleep_for(suspension);
            deployment.workers[machine]->resume();
            resumed.emplace_back("i-" + std::to_string(machine + 1), record.now());
            deployment.agents[machine]->signal(SIGCONT);
        }
        std::this_thread::sleep_for(6s);
    }
    for (auto &response : sent) {
        response.get();
    }
    int overlaps = 0;
    for (const auto &[worker, at] : resumed) {
        overlaps += countOverlaps(deployment.starts.all(), at, worker, record);
    }
    record.write(std::to_string(overlaps) + " overlaps; TWICE " + (overlaps > 0 ? "is broken" : "holds"));
    return overlaps > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return argc > 1 ? run(argv[1]) : 2;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
