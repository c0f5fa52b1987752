#include <lagoonroute/base/base.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(IdentifiersTest)

BOOST_AUTO_TEST_CASE(JobIdDependsOnBoundariesOfItsParts)
{
    BOOST_TEST((JobId::fromSubmission("booking", "a", "bc") == JobId::fromSubmission("booking", "a", "bc")));
    BOOST_TEST((JobId::fromSubmission("booking", "a", "bc") != JobId::fromSubmission("booking", "ab", "c")));
}

BOOST_AUTO_TEST_CASE(DigestToStringPadsToAllDigits)
{
    BOOST_TEST((Digest{ 1, 255 }.toString() == "000000000000000100000000000000ff"));
}

BOOST_AUTO_TEST_CASE(FullBoundedRingRejectsPush)
{
    WakeSignal signal;
    BoundedRing<int> ring(2, signal);
    BOOST_TEST(ring.push(1));
    BOOST_TEST(ring.push(2));
    BOOST_TEST(!ring.push(3));
    int sum = 0;
    BOOST_TEST(ring.drain([&sum](int value) { sum += value; }) == 2U);
    BOOST_TEST(sum == 3);
}

BOOST_AUTO_TEST_CASE(BoundedRingMovesValues)
{
    WakeSignal signal;
    BoundedRing<std::string> ring(1, signal);
    std::string first(100, 'a');
    std::string second(100, 'b');
    const char *const bytes = first.data();
    const bool isFirstAccepted = ring.push(std::move(first));
    const bool isSecondAccepted = ring.push(std::move(second));
    BOOST_TEST(isFirstAccepted);
    BOOST_TEST(!isSecondAccepted);
    ring.drain([bytes](std::string &&value) { BOOST_TEST((value.data() == bytes)); });
}

BOOST_AUTO_TEST_SUITE_END()
