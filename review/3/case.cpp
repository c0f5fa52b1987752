#include "../standins/deployment.h"

#include <cstdio>
#include <vector>

/**
 * A worker without work is cut off for 300 ms; behind the cut it crashes and starts again under its id. Afterwards a client
 * submits a job. No task may have two runs at the same time.
 */
int main()
{
    using namespace std::chrono_literals;
    constexpr std::size_t rounds = 6;
    constexpr auto timeBeforeCrash = 100ms;
    constexpr auto timeAfterCrash = 200ms;
    constexpr auto roundLength = 7000ms;

    review::Record record(review::recordPath());
    review::Deployment deployment(review::Deployment::Options{}, record);
    if (!deployment.start()) {
        return 2;
    }
    int completed = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        const auto begun = review::Clock::now();
        review::Upstream &upstream = deployment.upstream(round);
        if (review::isTroubleWanted()) {
            deployment.onLoop([&] { upstream.cutOffSilently(); });
            std::this_thread::sleep_for(timeBeforeCrash);
            deployment.onLoop([&] { upstream.restart(); });
            std::this_thread::sleep_for(timeAfterCrash);
            deployment.onLoop([&] { upstream.reconnect(); });
        }
        std::this_thread::sleep_for(50ms);
        auto answer = deployment.submit(round % 3, "00000000000000d" + std::to_string(round), { 1, 36, 400ms }, 1500ms);
        completed += answer.get().status == 200 ? 1 : 0;
        std::this_thread::sleep_until(begun + roundLength);
    }
    const std::size_t broken = record.overlaps().size();
    record.line(std::to_string(broken) + " tasks had two runs at the same time");
    std::printf("%d of %zu jobs completed, %zu tasks with two runs at the same time\n", completed, rounds, broken);
    if (completed == 0) {
        return 2;
    }
    return broken > 0 ? 1 : 0;
}
