#include "configcommand.h"
#include "../../configuration/tests/fakestore.h"
#include "configstatus.h"

#include <lagoonroute/configuration/configuration.h>

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace lagoonroute;

namespace
{

struct Environment
{
    StoreReply call(const StoreCall &call)
    {
        return store.call(call, loss);
    }

    std::optional<NodeRevision> revisionAt(const NodeAddress &address)
    {
        const auto found = nodes.find(address.port);
        return found == nodes.end() ? std::nullopt : std::optional(found->second);
    }

    ConfigExit run(const ConfigOptions &options)
    {
        out.str("");
        err.str("");
        ConfigPorts ports = ConfigPorts::of(*this, *this, out, err);
        ports.sleep = [](Duration) {};
        return runConfigCommand(options, ports);
    }

    FakeStore store;
    Loss loss = Loss::None;
    std::map<std::uint16_t, NodeRevision> nodes;
    std::ostringstream out;
    std::ostringstream err;
};

/** Configuration file that the destructor removes. */
class TemporaryFile
{
public:
    TemporaryFile(std::string name, const std::string &text)
        : m_name(std::move(name))
    {
        std::ofstream(m_name) << text;
    }

    ~TemporaryFile()
    {
        std::remove(m_name.c_str());
    }

    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }

private:
    std::string m_name;
};

ConfigOptions submission(const std::string &file, Revision reviewed, const std::string &mark)
{
    ConfigOptions options{ .arguments = { "submit", file }, .author = "aminata", .reason = "festival", .mark = mark };
    options.reviewed = reviewed;
    return options;
}

bool contains(const std::ostringstream &stream, const std::string &text)
{
    return stream.str().find(text) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigCommandTest)

BOOST_AUTO_TEST_CASE(CheckSubmitDiffRollbackAndHistoryInSequence)
{
    Environment environment;
    const TemporaryFile first("config-first.json", R"({"services":{"booking":{"queueLimit":1}}})");
    const TemporaryFile second("config-second.json", R"({"services":{"booking":{"queueLimit":2}}})");
    const TemporaryFile faulty("config-faulty.json", R"({"services":{"booking":{"queueLimits":0}}})");

    BOOST_TEST((environment.run({ .arguments = { "check", first.name() } }) == ConfigExit::Done));
    BOOST_TEST((environment.run({ .arguments = { "check", faulty.name() } }) == ConfigExit::Invalid));
    BOOST_TEST(contains(environment.err, R"(config-faulty.json: /services/booking/queueLimits: found an unknown field, allowed did you mean "queueLimit"?)"));

    BOOST_TEST((environment.run(submission(first.name(), 0, "a")) == ConfigExit::Done));
    BOOST_TEST((environment.run({ .arguments = { "diff", second.name() } }) == ConfigExit::Done));
    BOOST_TEST(environment.out.str() == "against revision 1\n~ /services/booking/queueLimit: 1 -> 2\n");
    BOOST_TEST((environment.run(submission(second.name(), 1, "b")) == ConfigExit::Done));
    BOOST_TEST((environment.run(submission(first.name(), 1, "c")) == ConfigExit::Conflict));
    BOOST_TEST(contains(environment.out, "since revision 1:\n~ /services/booking/queueLimit: 1 -> 2\n"));

    ConfigOptions rollback = submission("", 2, "d");
    rollback.arguments = { "rollback" };
    rollback.target = 1;
    BOOST_TEST((environment.run(rollback) == ConfigExit::Done));
    BOOST_TEST((environment.run({ .arguments = { "history" } }) == ConfigExit::Done));
    BOOST_TEST(contains(environment.out, "revision 2 -> 3"));
    BOOST_TEST(contains(environment.out, "    ~ /services/booking/queueLimit: 2 -> 1\nrevision 1 -> 2"));
    BOOST_TEST(contains(environment.out, "aminata: festival\n    + /services/booking"));
}

BOOST_AUTO_TEST_CASE(ReportsUnreachableStoreAndMissingFlags)
{
    Environment environment;
    const TemporaryFile file("config-outage.json", "{}");
    ConfigOptions noReason = submission(file.name(), 0, "a");
    noReason.reason.clear();
    BOOST_TEST((environment.run(noReason) == ConfigExit::Usage));
    BOOST_TEST(contains(environment.err, "submit needs --reason"));
    environment.loss = Loss::Request;
    BOOST_TEST((environment.run(submission(file.name(), 0, "a")) == ConfigExit::StoreUnreachable));
    BOOST_TEST((environment.run({ .arguments = { "history" } }) == ConfigExit::StoreUnreachable));
    BOOST_TEST((environment.run({ .arguments = { "diff", "config-absent.json" } }) == ConfigExit::Invalid));
    BOOST_TEST((environment.run({ .arguments = { "show" } }) == ConfigExit::Usage));
}

BOOST_AUTO_TEST_CASE(StatusReportsLaggingAndUnreachableProcesses)
{
    Environment environment;
    environment.nodes = { { 1, { "entry", true, 7 } }, { 2, { "agent", true, 5 } } };
    const ConfigOptions both{ .arguments = { "status" }, .nodes = "127.0.0.1:1,127.0.0.1:2" };
    BOOST_TEST((environment.run(both) == ConfigExit::Lagging));
    BOOST_TEST(contains(environment.out, "revision 5, lags by 2"));
    BOOST_TEST(contains(environment.out, "lowest revision in force 5, highest 7, 0 not reached"));
    environment.nodes.at(2).revision = 7;
    BOOST_TEST((environment.run(both) == ConfigExit::Done));
    environment.nodes.erase(2);
    BOOST_TEST((environment.run(both) == ConfigExit::Lagging));
    BOOST_TEST((environment.run({ .arguments = { "status" }, .nodes = "127.0.0.1" }) == ConfigExit::Invalid));
}

BOOST_AUTO_TEST_CASE(ParsesRevisionFromStatusPage)
{
    BOOST_TEST((parseNodeRevision(R"({"node":"entry","ready":true,"revision":7,"more":1})") == NodeRevision{ "entry", true, 7 }));
    for (const char *text : { "", "[]", R"({"node":"entry"})", R"({"node":1,"revision":7})", R"({"node":"entry","revision":-1})" }) {
        BOOST_TEST(!parseNodeRevision(text).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
