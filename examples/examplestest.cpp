#include <lagoonroute/configuration/configuration.h>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace lagoonroute;

namespace
{

std::string outputOf(const char *program)
{
    std::string output;
    std::FILE *pipe = popen(program, "r");
    BOOST_TEST_REQUIRE(pipe != nullptr);
    for (int character = std::fgetc(pipe); character != EOF; character = std::fgetc(pipe)) {
        output += static_cast<char>(character);
    }
    BOOST_TEST(pclose(pipe) == 0);
    return output;
}

/** Calls `visit` with the name of every field in the object and below, except the names that operators choose, such as those of services. */
template <typename Visitor>
void visitFields(const boost::json::object &object, const Visitor &visit)
{
    for (const auto &entry : object) {
        const std::string name(entry.key());
        visit(name);
        const boost::json::value *value = &entry.value();
        if (name == "services" || name == "workerClasses" || name == "zones" || name == "racks") {
            value = value->is_object() ? &value->get_object().begin()->value() : value;
        }
        if (value->is_object() && name != "callerWeights") {
            visitFields(value->get_object(), visit);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ExamplesTest)

BOOST_AUTO_TEST_CASE(PrintedConfigurationsHaveNoFaultsAndAreCanonical)
{
    for (const char *program : { NDIMBAL_PROGRAM, RACKWISE_PROGRAM }) {
        const std::string printed = outputOf(program);
        const ParsedConfiguration parsed = parseConfiguration(printed);
        BOOST_TEST_REQUIRE(parsed.configuration.has_value());
        BOOST_TEST(printConfiguration(*parsed.configuration) == printed);
        BOOST_TEST(parsed.configuration->services().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(ConfigurationPageListsEveryField)
{
    std::ostringstream page;
    page << std::ifstream(CONFIGURATION_PAGE).rdbuf();
    std::size_t fields = 0;
    visitFields(boost::json::parse(outputOf(NDIMBAL_PROGRAM)).as_object(), [&](const std::string &name) {
        ++fields;
        BOOST_TEST((page.str().find("`" + name + "`") != std::string::npos), name << " is not on the configuration page");
    });
    BOOST_TEST(fields > 30U);
}

BOOST_AUTO_TEST_SUITE_END()
