#include <catch2/catch.hpp>

#include "core/compression.h"
#include "core/random.h"
#include "modules/fleet/message_codec.h"

namespace jacinthshift {

namespace {

WorkCallMessage sampleCall()
{
    return WorkCallMessage{.callerProcess = 6,
                           .call = 7,
                           .work = {.request = {.method = "POST",
                                                .target = "/a/b?c=\xff",
                                                .headers = {{"Id", "1: 2"}, {"X", ""}},
                                                .body = std::string("\0\xfe", 2)},
                                    .route = "r",
                                    .service = "s",
                                    .version = "v2",
                                    .priority = 3,
                                    .idempotent = true,
                                    .timeLeft = std::chrono::milliseconds(800)}};
}

} // namespace

TEST_CASE("the codec preserves all bytes of a call")
{
    const absl::StatusOr<FleetMessage> read = decodeFleetMessage(encodeFleetMessage(sampleCall()));
    REQUIRE(read.ok());
    const WorkCallMessage &call = std::get<WorkCallMessage>(*read);
    CHECK(call.callerProcess == 6);
    CHECK(call.call == 7);
    CHECK(call.work.request.target == "/a/b?c=\xff");
    CHECK(call.work.request.body == std::string("\0\xfe", 2));
    REQUIRE(call.work.request.headers.size() == 2);
    CHECK(call.work.request.headers[0].value == "1: 2");
    CHECK(call.work.request.headers[1].value.empty());
    CHECK(call.work.version == "v2");
    CHECK(call.work.timeLeft == std::chrono::milliseconds(800));
}

TEST_CASE("the codec round-trips every type of message")
{
    const std::vector<FleetMessage> messages = {
            GreetingMessage{.self = {.node = "n", .linkEndpoint = {"127.0.0.1", 1}}},
            StatusMessage{.tableEnd = 4, .backend = {.id = "i", .concurrencyLimit = 3}},
            WorkResultMessage{.call = 1, .result = {.refusal = WorkRefusal::Overloaded}},
            WorkCancelMessage{.callerProcess = 8, .call = 9},
            WorkResumeMessage{.callerProcess = 8, .calls = {1, 2}},
            TableFetchMessage{.from = 12},
            TableRecordsMessage{.packedPage = "p"},
            VersionEvidenceMessage{.service = "s", .routes = {{.route = "r"}}},
            CrashSuspectMessage{.fingerprint = ~0ULL, .backend = "b"},
            BackendLeftMessage{.backend = {.id = "i", .startedAt = 5}},
            KnownCrashesMessage{.crashes = {{.fingerprint = ~0ULL, .backend = "b"}}},
            KnowledgeQuestionMessage{.number = 6},
            KnowledgeAnswerMessage{.number = 6, .configVersion = 9},
            KnowledgeAnswerMessage{.number = 6, .age = std::chrono::milliseconds(300)},
            ProbeMessage{.reply = true},
            EvidenceBatchMessage{.reports = {{.node = "n", .sequence = 4, .service = "s"}}},
            ResponsePartMessage{.call = 3, .offset = 16, .bytes = std::string("\0\xff", 2)},
            RolloutProgressMessage{.step = 2, .outcome = RolloutOutcome::RolledBack}};
    for (const FleetMessage &message : messages) {
        INFO(message.index());
        const absl::StatusOr<FleetMessage> read = decodeFleetMessage(encodeFleetMessage(message));
        REQUIRE(read.ok());
        CHECK(read->index() == message.index());
        CHECK(encodeFleetMessage(*read) == encodeFleetMessage(message));
    }
}

TEST_CASE("packed records are restored unchanged and damaged ones are rejected")
{
    const KeyedPage page{.records = {{"k", std::string("v\0\xff", 3), 3}}, .endOffset = 4};
    const absl::StatusOr<KeyedPage> read = unpackPage(packPage(page));
    REQUIRE(read.ok());
    CHECK(read->endOffset == 4);
    CHECK(read->records.at(0).value == page.records[0].value);
    CHECK_FALSE(unpackPage("nonsense").ok());
}

TEST_CASE("damaged frames are decoded or rejected with InvalidArgument, without a crash")
{
    Random random(42);
    const std::string frame = encodeFleetMessage(sampleCall());
    for (int i = 0; i < 20'000; ++i) {
        std::string damaged = frame;
        for (std::uint64_t changes = 1 + random.below(4); changes > 0; --changes)
            damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        damaged.resize(random.below(damaged.size() + 1));
        const absl::StatusOr<FleetMessage> read = decodeFleetMessage(damaged);
        if (!read.ok())
            REQUIRE(absl::IsInvalidArgument(read.status()));
    }
}

// Guards against one malformed frame of another node that ends the process: the library's decoder
// recurses, so deep nesting overflows its stack.
TEST_CASE("frames and pages that are nested without end are rejected")
{
    for (const char opening : {'\x81', '\x9f', '\xa1', '\x7f'}) {
        const std::string nested(1'000'000, opening);
        CHECK_FALSE(decodeFleetMessage(nested).ok());
        CHECK_FALSE(unpackPage(compressBytes(nested)).ok());
    }
}

} // namespace jacinthshift
