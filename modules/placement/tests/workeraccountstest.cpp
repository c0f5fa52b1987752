#include <lagoonroute/placement/workeraccounts.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

namespace
{

const NodeId worker = NodeId::fromName("a");

AccountedTask accounted(TaskIndex index, Resources need = {})
{
    return { .demand = { .task = { {}, index }, .need = need } };
}

WorkerState stateOf(Incarnation incarnation)
{
    return { .node = worker, .incarnation = incarnation, .slots = 8, .connections = 2, .capacity = { 4000, 1024, 1 } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerAccountsTest)

BOOST_AUTO_TEST_CASE(ConnectionsAndResourcesAreCounted)
{
    WorkerAccounts accounts;
    accounts.update(stateOf(1));
    BOOST_TEST(accounts.slots() == 2U);
    accounts.assign(worker, accounted(0, { 3000, 0, 1 }));
    accounts.assign(worker, accounted(0, { 3000, 0, 1 }));
    BOOST_TEST(accounts.find(worker)->assigned() == 1U);
    BOOST_TEST(accounts.find(worker)->fits({ 1000, 1024, 0 }));
    BOOST_TEST(!accounts.find(worker)->fits({ 1001, 0, 0 }));
    BOOST_TEST(!accounts.find(worker)->fits({ 0, 0, 1 }));
    BOOST_TEST(accounts.settle({ {}, 0 }, worker).has_value());
    BOOST_TEST(!accounts.settle({ {}, 0 }, worker).has_value());
    BOOST_TEST(accounts.find(worker)->fits({ 4000, 1024, 1 }));
}

BOOST_AUTO_TEST_CASE(TasksOfRemovedWorkerStayUntilSettled)
{
    WorkerAccounts accounts;
    accounts.update(stateOf(1));
    accounts.assign(worker, accounted(0));
    accounts.remove(worker);
    BOOST_TEST(accounts.slots() == 0U);
    accounts.update(stateOf(1));
    BOOST_TEST(accounts.find(worker)->assigned() == 1U);
    accounts.remove(worker);
    BOOST_TEST(accounts.settle({ {}, 0 }, worker).has_value());
    BOOST_TEST((accounts.find(worker) == nullptr));
}

BOOST_AUTO_TEST_CASE(TasksOfEarlierIncarnationUseNoCapacity)
{
    WorkerAccounts accounts;
    accounts.assign(worker, accounted(0)); // adopted before the worker is known
    accounts.update(stateOf(1));
    BOOST_TEST(accounts.find(worker)->assigned() == 1U);
    accounts.update(stateOf(2));
    BOOST_TEST(accounts.find(worker)->assigned() == 0U);
    accounts.assign(worker, accounted(1));
    BOOST_TEST(accounts.settle({ {}, 0 }, worker).has_value());
    BOOST_TEST(accounts.find(worker)->assigned() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
