#include <lagoonroute/direct/latenessbudget.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(LatenessBudgetTest)

BOOST_AUTO_TEST_CASE(LateWorkIsLimitedByTheLeastSpareOfLessUrgentJobs)
{
    LatenessBudget budget;
    budget.addPunctualJob("api", 1, 100);
    budget.addPunctualJob("api", 2, 40);
    budget.addPunctualJob("api", 2, 60);
    BOOST_TEST(!budget.take("api", 0, 41));
    BOOST_TEST(budget.take("api", 0, 25));
    BOOST_TEST(!budget.take("api", 1, 16));
    BOOST_TEST(budget.take("api", 1, 15));
    BOOST_TEST(!budget.take("api", 0, 1));
}

BOOST_AUTO_TEST_CASE(LeastUrgentJobsAndOtherServicesAreNotLimited)
{
    LatenessBudget budget;
    budget.addPunctualJob("api", 1, 0);
    BOOST_TEST(budget.take("api", 1, 1000));
    BOOST_TEST(budget.take("api", 2, 1000));
    BOOST_TEST(budget.take("other", 0, 1000));
    BOOST_TEST(!budget.take("api", 0, 1));
}

BOOST_AUTO_TEST_SUITE_END()
