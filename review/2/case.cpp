#include "../standins/deployment.h"

#include <cstdio>
#include <cstdlib>

/** A worker is cut off, so that connections to it are refused, and runs on. No task may have two runs at the same time. */
int main()
{
    using namespace std::chrono_literals;
    constexpr int jobs = 40;
    constexpr int jobsBeforeCut = 20;
    constexpr auto interval = 100ms;
    constexpr auto cutLength = 5500ms;

    review::Record record(review::recordPath());
    review::Deployment deployment(review::Deployment::Options{}, record);
    if (!deployment.start()) {
        return 2;
    }
    std::vector<std::future<review::ClientResult>> answers;
    const auto submit = [&](int job) {
        answers.push_back(deployment.submit(static_cast<std::size_t>(job) % 3, "00000000000000" + std::to_string(10 + job), { 1, 4, 900ms }, 1500ms));
        std::this_thread::sleep_for(interval);
    };
    for (int job = 0; job < jobsBeforeCut; ++job) {
        submit(job);
    }
    const auto cutAt = review::Clock::now();
    if (review::isTroubleWanted()) {
        deployment.onLoop([&] { deployment.upstream(0).cutOff(); });
    }
    for (int job = jobsBeforeCut; job < jobs; ++job) {
        submit(job);
    }
    std::this_thread::sleep_until(cutAt + cutLength);
    if (review::isTroubleWanted()) {
        deployment.onLoop([&] { deployment.upstream(0).reconnect(); });
    }
    std::this_thread::sleep_for(3s);
    int completed = 0;
    for (auto &answer : answers) {
        completed += answer.get().status == 200 ? 1 : 0;
    }
    const std::size_t broken = record.overlaps().size();
    record.line(std::to_string(completed) + " of " + std::to_string(jobs) + " jobs completed, " + std::to_string(broken)
                + " tasks with two runs at the same time");
    std::printf("%d of %d jobs completed, %zu tasks with two runs at the same time\n", completed, jobs, broken);
    if (completed == 0) {
        return 2;
    }
    return broken > 0 ? 1 : 0;
}
