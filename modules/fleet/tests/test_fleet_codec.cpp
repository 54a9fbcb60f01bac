#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

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
            StatusMessage{.tableEnd = {.era = 2, .offset = 4},
                          .backend = {.id = "i", .concurrencyLimit = 3}},
            WorkResultMessage{.call = 1, .result = {.refusal = WorkRefusal::Overloaded}},
            WorkCancelMessage{.callerProcess = 8, .call = 9},
            WorkResumeMessage{.callerProcess = 8, .calls = {1, 2}},
            TableFetchMessage{.from = {.era = 1, .offset = 12}},
            TableRecordsMessage{.packedPage = "p"},
            VersionEvidenceMessage{.service = "s", .routes = {{.route = "r"}}},
            CrashReportsMessage{.crashes = {{.fingerprint = ~0ULL, .backend = "b"},
                                            {.fingerprint = 1,
                                             .backend = "c",
                                             .cleared = true,
                                             .age = std::chrono::milliseconds(70)}}},
            BackendLeftMessage{.backend = {.id = "i", .startedAt = 5}},
            KnowledgeQuestionMessage{.number = 6},
            KnowledgeAnswerMessage{.number = 6, .configVersion = 9},
            KnowledgeAnswerMessage{.number = 6, .age = std::chrono::milliseconds(300)},
            ProbeMessage{.reply = true},
            EvidenceBatchMessage{.reports = {{.node = "n", .sequence = 4, .service = "s"}}},
            ResponsePartMessage{.call = 3, .offset = 16, .bytes = std::string("\0\xff", 2)},
            RolloutProgressMessage{.step = 2,
                                   .outcome = RolloutOutcome::RolledBack,
                                   .ownerIdle = true,
                                   .orderAge = std::chrono::milliseconds(4'000)}};
    for (const FleetMessage &message : messages) {
        INFO(message.index());
        const absl::StatusOr<FleetMessage> read = decodeFleetMessage(encodeFleetMessage(message));
        REQUIRE(read.ok());
        CHECK(read->index() == message.index());
        CHECK(encodeFleetMessage(*read) == encodeFleetMessage(message));
    }
}

// Guards against histograms that lose counts, or that name buckets that do not exist.
TEST_CASE("latency histograms keep their counts; one with too many buckets is refused")
{
    VersionEvidenceMessage report{.routes = {{.route = "r"}}};
    LatencyHistogram &latency = report.routes[0].counts.latency;
    for (const std::size_t first : {std::size_t{0}, std::size_t{5}, LatencyBucketCount - 1}) {
        latency.fill(0);
        latency[first] = 7;
        latency[LatencyBucketCount - 1] += 300;
        const std::string frame = encodeFleetMessage(report);
        const absl::StatusOr<FleetMessage> read = decodeFleetMessage(frame);
        REQUIRE(read.ok());
        CHECK(std::get<VersionEvidenceMessage>(*read).routes[0].counts.latency == latency);
        nlohmann::json items = nlohmann::json::from_cbor(frame);
        nlohmann::json &histogram = items[1][3][0][1][3];
        REQUIRE(histogram.size() == LatencyBucketCount - first + 1);
        histogram.push_back(1);
        std::string longer;
        nlohmann::json::to_cbor(items, longer);
        CHECK_FALSE(decodeFleetMessage(longer).ok());
    }
}

// Guards against a change of the order or the types of the fields, which nodes of another build
// would refuse or misread.
TEST_CASE("the fields of the most frequent messages have their places on the wire")
{
    using nlohmann::json;
    const auto decoded = [](const FleetMessage &message) {
        const std::string frame = encodeFleetMessage(message);
        const json items = json::from_cbor(frame);
        std::string again;
        json::to_cbor(items, again);
        CHECK(again == frame);
        return items;
    };
    const auto bytes = [](const std::string &text) {
        return json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
    };
    const json call = {2, json::array({7, "POST", bytes("/a/b?c=\xff"), bytes("Id:1: 2\nX:\n"),
                                       bytes(std::string("\0\xfe", 2)), "r", "s", "", 3, true,
                                       false, false, 800, 0, "v2", 6, ""})};
    CHECK(decoded(sampleCall()) == call);
    const WorkResultMessage resultMessage{
            .callerProcess = 6,
            .call = 7,
            .result = {.verdict = Verdict::MayHaveRun,
                       .refusal = WorkRefusal::Lost,
                       .reachedBackend = true,
                       .retryAfter = std::chrono::milliseconds(5),
                       .response = {.status = 503, .headers = {{"A", "b"}}, .body = "c"}},
            .load = {.concurrencyLimit = 1,
                     .running = 2,
                     .queued = 3,
                     .startsPerSecond = 4,
                     .serviceTime = std::chrono::milliseconds(50),
                     .failuresPerThousand = 6,
                     .requestRateLimit = 0.1,
                     .responseBacklog = std::chrono::milliseconds(-8)},
            .followingBodyBytes = 9};
    const json result = {3, json::array({7,
                                         static_cast<int>(Verdict::MayHaveRun),
                                         static_cast<int>(WorkRefusal::Lost),
                                         true,
                                         5,
                                         503,
                                         bytes("A:b\n"),
                                         bytes("c"),
                                         1,
                                         2,
                                         3,
                                         4,
                                         50,
                                         6,
                                         0.1,
                                         -8,
                                         9,
                                         6,
                                         0,
                                         0,
                                         0})};
    CHECK(decoded(resultMessage) == result);
    const StatusMessage statusMessage{.tableEnd = {.offset = 1},
                                      .readsLog = true,
                                      .relayCapacity = 24,
                                      .backend = {.availability = BackendAvailability::Ready,
                                                  .id = "i",
                                                  .startedAt = 1'780'000'000'000,
                                                  .service = "s",
                                                  .version = "v",
                                                  .concurrencyLimit = 8,
                                                  .running = 2,
                                                  .requestRateLimit = 2.5}};
    const json status = {1, json::array({1, false, true,
                                         json::array({1, "i", "s", "v", 8, 2, 0, 0, 0, 0, false,
                                                      2.5, 1'780'000'000'000, false, 0, 0, 0, 0}),
                                         24, 0})};
    CHECK(decoded(statusMessage) == status);
}

// Guards against a peer's numbers that are cut off to another value, unknown enumerators, and
// fields of another type.
TEST_CASE("frames with fields that are missing, out of range or of another type are rejected")
{
    using nlohmann::json;
    const auto isDecoded = [](const json &items) {
        std::string frame;
        json::to_cbor(items, frame);
        return decodeFleetMessage(frame).ok();
    };
    const auto status = [](const json &backendFields) {
        return json{1, json::array({1, false, true, backendFields, 24, 0})};
    };
    const json valid =
            json::array({1, "i", "s", "v", 8, 2, 0, 0, 0, 0, false, 2.5, 4, false, 0, 0, 0, 0});
    REQUIRE(isDecoded(status(valid)));
    const auto withField = [&](std::size_t index, const json &value) {
        json changed = valid;
        changed[index] = value;
        return status(changed);
    };
    CHECK_FALSE(isDecoded(withField(0, 3)));
    CHECK_FALSE(isDecoded(withField(0, -1)));
    CHECK_FALSE(isDecoded(withField(1, 7)));
    CHECK_FALSE(isDecoded(withField(4, 4'294'967'296)));
    CHECK_FALSE(isDecoded(withField(4, -1)));
    CHECK_FALSE(isDecoded(withField(8, "50")));
    CHECK_FALSE(isDecoded(withField(10, 1)));
    CHECK_FALSE(isDecoded(withField(11, nullptr)));
    json shorter = valid;
    shorter.erase(shorter.size() - 1);
    CHECK_FALSE(isDecoded(status(shorter)));
    CHECK_FALSE(isDecoded(json::array({1})));
    CHECK_FALSE(isDecoded(json::array({99, json::array()})));
    CHECK_FALSE(isDecoded(json::array({"1", json::array()})));
    CHECK_FALSE(decodeFleetMessage(encodeFleetMessage(ProbeMessage()) + "x").ok());
}

// Guards against links that close because a later build has added a field to a message.
TEST_CASE("fields that follow the known ones are skipped")
{
    using nlohmann::json;
    std::string frame;
    json::to_cbor(json{4, json::array({9, 8, json::array({"later", json{{"k", 1.5}}})}), "more"},
                  frame);
    const absl::StatusOr<FleetMessage> read = decodeFleetMessage(frame);
    REQUIRE(read.ok());
    CHECK(std::get<WorkCancelMessage>(*read).call == 9);
    CHECK(std::get<WorkCancelMessage>(*read).callerProcess == 8);
}

// Guards against a header line without a colon or an end that is read beyond the byte string.
TEST_CASE("malformed header lines are rejected")
{
    using nlohmann::json;
    const auto isDecoded = [](const std::string &lines) {
        const auto bytes = [](const std::string &text) {
            return json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
        };
        std::string frame;
        json::to_cbor(json{2, json::array({7, "GET", bytes("/"), bytes(lines), bytes(""), "r", "s",
                                           "", 0, false, false, false, 1, 1, "", 6, ""})},
                      frame);
        return decodeFleetMessage(frame).ok();
    };
    CHECK(isDecoded(""));
    CHECK(isDecoded("a:b\n"));
    CHECK_FALSE(isDecoded("a:b"));
    CHECK_FALSE(isDecoded("a\nb:c\n"));
    CHECK_FALSE(isDecoded("\n"));
}

// Guards against costs that get lost between the owner and the senders.
// Guards against a peer whose names use up the memory: they are stored as long as it is known.
TEST_CASE("names that are too long are rejected")
{
    const auto isDecoded = [](std::size_t bytes) {
        const std::string name(bytes, 'n');
        const std::vector<FleetMessage> messages = {
                GreetingMessage{.self = {.node = name, .linkEndpoint = {"127.0.0.1", 1}}},
                GreetingMessage{
                        .self = {.node = "n", .linkEndpoint = {"127.0.0.1", 1}, .service = name}},
                StatusMessage{.backend = {.id = name}},
                RolloutProgressMessage{.service = name},
                BackendLeftMessage{.backend = {.id = name}},
                CrashReportsMessage{.crashes = {{.backend = name}}}};
        std::size_t decoded = 0;
        for (const FleetMessage &message : messages)
            decoded += decodeFleetMessage(encodeFleetMessage(message)).ok() ? 1 : 0;
        CHECK((decoded == 0 || decoded == messages.size()));
        return decoded == messages.size();
    };
    CHECK(isDecoded(MaxNameBytes));
    CHECK_FALSE(isDecoded(MaxNameBytes + 1));
}

// Guards against frames that take a multiple of their size once they are decoded.
TEST_CASE("arrays with too many elements and pages that expand too far are rejected")
{
    const auto isDecoded = [](std::size_t count) {
        const ContactsFetchMessage fetch{.known = std::vector<std::uint64_t>(count, 1)};
        return decodeFleetMessage(encodeFleetMessage(fetch)).ok();
    };
    CHECK(isDecoded(100'000));
    CHECK_FALSE(isDecoded(100'001));
    KeyedPage page;
    page.records.push_back(KeyedRecord{.key = "k", .value = std::string(8'000'000, 'v')});
    CHECK(unpackPage(packPage(page)).ok());
    page.records.push_back(KeyedRecord{.key = "l", .value = std::string(8'000'000, 'v')});
    page.records.push_back(KeyedRecord{.key = "m", .value = std::string(8'000'000, 'v')});
    CHECK_FALSE(unpackPage(packPage(page)).ok());
}

TEST_CASE("the codec preserves the costs in a status and in a result")
{
    const StatusMessage status{.backend = {.remainingWork = std::chrono::milliseconds(3'000),
                                           .normalRunTime = std::chrono::milliseconds(250),
                                           .pacePercent = 140}};
    const absl::StatusOr<FleetMessage> readStatus = decodeFleetMessage(encodeFleetMessage(status));
    REQUIRE(readStatus.ok());
    const BackendStatus &backend = std::get<StatusMessage>(*readStatus).backend;
    CHECK(backend.remainingWork == std::chrono::milliseconds(3'000));
    CHECK(backend.normalRunTime == std::chrono::milliseconds(250));
    CHECK(backend.pacePercent == 140);
    const WorkResultMessage result{.call = 1,
                                   .load = {.remainingWork = std::chrono::milliseconds(70),
                                            .normalRunTime = std::chrono::milliseconds(60),
                                            .pacePercent = 50}};
    const absl::StatusOr<FleetMessage> readResult = decodeFleetMessage(encodeFleetMessage(result));
    REQUIRE(readResult.ok());
    const BackendLoad &load = std::get<WorkResultMessage>(*readResult).load;
    CHECK(load.remainingWork == std::chrono::milliseconds(70));
    CHECK(load.normalRunTime == std::chrono::milliseconds(60));
    CHECK(load.pacePercent == 50);
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

// Guards against one malformed frame of another node that ends the process: the library's
// decoder recurses, so deep nesting overflows its stack.
TEST_CASE("frames and pages that are nested without end are rejected")
{
    for (const char opening : {'\x81', '\x9f', '\xa1', '\x7f'}) {
        const std::string nested(1'000'000, opening);
        CHECK_FALSE(decodeFleetMessage(nested).ok());
        CHECK_FALSE(unpackPage(compressBytes(nested)).ok());
    }
}

} // namespace jacinthshift
