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

/** Passes the name of every field below the value to `see`, but not the names that operators choose. */
template <typename See>
void visitFields(const boost::json::object &object, const See &see)
{
    for (const auto &entry : object) {
        const std::string name(entry.key());
        see(name);
        const boost::json::value *value = &entry.value();
        if (name == "services" || name == "workerClasses" || name == "zones" || name == "racks") {
            value = value->is_object() ? &value->get_object().begin()->value() : value;
        }
        if (value->is_object() && name != "callerWeights") {
            visitFields(value->get_object(), see);
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

BOOST_AUTO_TEST_CASE(ThePageListsEveryField)
{
    std::ostringstream page;
    page << std::ifstream(CONFIGURATION_PAGE).rdbuf();
    std::size_t fields = 0;
    visitFields(boost::json::parse(outputOf(NDIMBAL_PROGRAM)).as_object(), [&](const std::string &name) {
        ++fields;
        BOOST_TEST((page.str().find("`" + name + "`") != std::string::npos), name << " is not on the page");
    });
    BOOST_TEST(fields > 30U);
}

BOOST_AUTO_TEST_SUITE_END()
