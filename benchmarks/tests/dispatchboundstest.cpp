#include "allocations.h"
#include "homeloop.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace lagoonroute::bench;

BOOST_AUTO_TEST_SUITE(DispatchBoundsTest)

BOOST_AUTO_TEST_CASE(JobWithoutFaultsWastesNoMessages)
{
    for (const std::size_t tasks : { 1, 8, 100, 790 }) {
        HomeLoop loop(11, 8);
        loop.runJob(tasks);
        const MessageCounts &messages = loop.messages();
        BOOST_TEST_MESSAGE(tasks << " tasks: " << messages.total() << " messages, " << messages.mirrorUpdates << " mirror updates, "
                                 << messages.acknowledgements << " acknowledgements");
        BOOST_TEST(loop.completed() == 1U);
        BOOST_TEST(messages.answers == 1U);
        BOOST_TEST(messages.starts == tasks);
        BOOST_TEST(messages.others == 0U);
    }
}

BOOST_AUTO_TEST_CASE(RetainedRecordTakesLessThan200Bytes)
{
    constexpr std::size_t jobs = 10'000;
    HomeLoop loop(11, 8);
    loop.runJob(1);
    const std::size_t countBefore = loop.home().jobCount();
    const std::size_t bytesBefore = allocatedBytes();
    for (std::size_t job = 0; job < jobs; ++job) {
        loop.runJob(1);
    }
    const std::size_t retained = loop.home().jobCount() - countBefore;
    BOOST_TEST(retained == jobs);
    // The retained answer is a JobAnswer with one TaskResult. Its size is not counted as part of the record.
    const std::size_t answer = sizeof(JobAnswer) + sizeof(TaskResult);
    const std::size_t perRecord = (allocatedBytes() - bytesBefore) / retained;
    BOOST_TEST_MESSAGE(perRecord << " bytes for each record, of which the answer has " << answer);
    BOOST_TEST(perRecord < 200 + answer);
}

BOOST_AUTO_TEST_SUITE_END()
