#include "allocationcount.h"
#include "mutator.h"

#include "callerjson.h"

#include <lagoonroute/app/settings.h>
#include <lagoonroute/base/errors.h>
#include <lagoonroute/configuration/configuration.h>
#include <lagoonroute/transport/messagecodec.h>

#include <boost/test/unit_test.hpp>

#include <utility>

using namespace lagoonroute;
using namespace lagoonroute::fuzz;

namespace
{

constexpr std::size_t inputsPerDecoder = 40000;
constexpr std::uint64_t seed = 20270213;

/** Limits of the memory that decoding may allocate: a fixed part, and a part per input byte for decoded values and vector growth. */
constexpr std::size_t fixedAllocationBytes = 8U << 10U;
constexpr std::size_t allocationBytesPerInputByte = 64;

std::string hexOf(const std::string &input)
{
    std::string text;
    for (const char byte : input) {
        constexpr const char *digits = "0123456789abcdef";
        text += digits[static_cast<unsigned char>(byte) >> 4U];
        text += digits[static_cast<unsigned char>(byte) & 0xFU];
    }
    return text;
}

/** Requires that every mutated input either decodes or throws the documented exception, within the memory limits. */
template <typename ExpectedError, typename Decode>
void requireDecodesOrThrows(std::vector<std::string> samples, Decode &&decode)
{
    for (const std::string &sample : samples) {
        BOOST_REQUIRE_NO_THROW(decode(sample));
    }
    Mutator mutator(std::move(samples), seed);
    std::size_t refused = 0;
    for (std::size_t number = 0; number < inputsPerDecoder; ++number) {
        const std::string input = mutator.next();
        const AllocationCount allocations;
        try {
            decode(input);
        } catch (const ExpectedError &) {
            ++refused;
        } catch (const std::exception &error) {
            BOOST_FAIL("input " << number << " threw the undocumented exception " << typeid(error).name() << ": " << error.what() << "; input "
                                << hexOf(input));
        }
        BOOST_REQUIRE_MESSAGE(allocations.peakBytes() <= fixedAllocationBytes + allocationBytesPerInputByte * input.size(),
                              "input " << number << " of " << input.size() << " bytes allocated " << allocations.peakBytes() << " bytes; input "
                                       << hexOf(input));
    }
    BOOST_TEST(refused > 0U);
    BOOST_TEST(refused < inputsPerDecoder);
}

template <std::size_t... Index>
std::vector<DispatchMessage> everyMessage(std::index_sequence<Index...>)
{
    return { DispatchMessage(std::in_place_index<Index>)... };
}

std::vector<std::string> sampleMessages()
{
    std::vector<DispatchMessage> messages = everyMessage(std::make_index_sequence<std::variant_size_v<DispatchMessage>>());
    const ShardKey shard{ "booking", 0 };
    const JobId job = JobId::fromSubmission("booking", "family", "wedding");
    JobRequest content{ .service = "booking", .caller = "family", .tasks = { TaskSpec{ .body = "{}" }, TaskSpec{ .body = "[1]" } } };
    const JobAnswer answer{ .outcome = Outcome::Complete, .detail = "all", .retryAfter = Duration{ 5 }, .results = { { 200, "{}" }, { 200, "[]" } } };
    messages.emplace_back(SubmitJob{ .shard = shard, .job = job, .content = content });
    messages.emplace_back(AnswerRequest{ .job = job, .answer = answer });
    messages.emplace_back(RedirectRequest{ .shard = shard, .view = ShardView{ .key = shard, .epoch = 2 } });
    messages.emplace_back(UpdateMirror{ .shard = shard, .records = { JobRecorded{ job, content }, AnswerRecorded{ job, answer }, JobExpired{ job } } });
    messages.emplace_back(AcknowledgeResults{ shard, { TaskId{ job, 0 }, TaskId{ job, 1 } } });
    std::vector<std::string> samples;
    samples.reserve(messages.size());
    for (DispatchMessage &message : messages) {
        samples.push_back(encodeMessage(Envelope{ NodeId{ 1 }, 2, NodeId{ 3 }, std::move(message) }));
    }
    return samples;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DecoderTest)

BOOST_AUTO_TEST_CASE(MutatedPeerMessagesDecodeOrThrowMalformedMessage)
{
    requireDecodesOrThrows<MalformedMessage>(sampleMessages(), [](const std::string &input) {
        const Envelope envelope = decodeMessage(input);
        BOOST_REQUIRE((decodeMessage(encodeMessage(envelope)) == envelope));
    });
}

BOOST_AUTO_TEST_CASE(MutatedSubmissionsParseOrThrowInvalidDocument)
{
    const std::vector<std::string> samples{
        R"({"tasks":[{"body":{"hold":"sabar troupe"}}]})",
        R"({"idempotent":false,"deadlineMs":2000,"tasks":[{"body":[1,2.5,null],"runTimeMs":50,"need":{"cpuMillis":1000,"memoryMegabytes":256,"accelerators":1}},{}]})",
    };
    const ServiceRules rules = ServiceRules::Builder("booking").withKeyRules({ KeyRule::bodyPointer("/tasks/0/body/hold"), KeyRule::bodyDigest() }).build();
    requireDecodesOrThrows<InvalidDocument>(samples,
                                            [&rules](const std::string &input) { parseSubmission(HttpRequest{ .method = "POST", .body = input }, rules); });
}

BOOST_AUTO_TEST_CASE(MutatedSettingsParseOrThrowInvalidDocument)
{
    const std::vector<std::string> samples{
        R"({"node":"a","peer":{"ip":"127.0.0.1","port":7400},"http":{"ip":"127.0.0.1","port":7500},"zone":"plateau","rack":"r1"})",
        R"({"node":"a","peer":{"ip":"127.0.0.1","port":1},"http":{"ip":"127.0.0.1","port":2},/*c*/"contacts":[{"ip":"127.0.0.1","port":3}],)"
        R"("services":{"booking":{"queueLimit":7}},"views":[{"service":"booking","home":"b","mirror":"a"}],})",
    };
    requireDecodesOrThrows<InvalidDocument>(samples, [](const std::string &input) { Settings::fromText(input, "settings.json"); });
}

BOOST_AUTO_TEST_CASE(MutatedConfigurationsParseOrThrowInvalidConfiguration)
{
    const std::vector<std::string> samples{
        printConfiguration(readConfiguration(R"({"services":{"a":{"queueLimit":1},"b":{}},"places":{"zones":{"y":{},"z":{}}}})")),
        R"({/* c */"services":{"a":{"queueLimit":2,"zones":["z"]}},"places":{"zones":{"z":{"racks":{}}}},})",
    };
    requireDecodesOrThrows<InvalidConfiguration>(samples, [](const std::string &input) {
        const Configuration configuration = readConfiguration(input);
        BOOST_REQUIRE((readConfiguration(compactConfiguration(configuration)) == configuration));
    });
}

BOOST_AUTO_TEST_SUITE_END()
