#include <catch2/catch.hpp>

#include "core/random.h"
#include "modules/mesh/message_codec.h"

namespace jacinthshift {

namespace {

constexpr std::uint64_t FuzzSeed = 20261204;
constexpr int FuzzRounds = 20'000;

std::vector<Message> sampleMessages()
{
    HelloMessage hello{.mesh = "m", .applied = 7, .witnessed = 9};
    hello.member = MemberRecord{.node = "a", .domain = "d", .links = {"127.0.0.1", 7000}};
    CallMessage call{.id = 5, .service = "s", .timeout = std::chrono::milliseconds(30)};
    call.request = HttpRequest{.method = "POST",
                               .target = "/x?y=\xff",
                               .headers = {{.name = "N", .value = "v\xfe"}},
                               .body = std::string("\0\1\2", 3)};
    AnswerMessage answer{.id = 5, .verdict = Verdict::Done};
    answer.response = HttpResponse{.status = 204, .body = "b"};
    return {hello,
            PingMessage{.applied = 3},
            MembersMessage{.records = {hello.member}},
            DigestMessage{.buckets = {1, 2}},
            FetchMessage{.from = 2, .subtreeLate = {"x"}},
            RecordsMessage{.records = {{.offset = 1, .payload = "\xff"}}, .chainHash = 1},
            SnapshotMessage{.snapshot = "s"},
            call,
            answer,
            CancelMessage{.id = 1},
            EvidenceMessage{.node = "a", .routes = {RouteEvidence{.service = "s"}}},
            BrakeMessage{.release = "r"},
            SuspectRequestMessage{.fingerprint = 4},
            StatusRequestMessage{.id = 1},
            StatusReplyMessage{.id = 1, .late = {"b"}}};
}

} // namespace

TEST_CASE("every message type is preserved by encoding and decoding")
{
    for (const Message &message : sampleMessages()) {
        const std::string frame = encodeMessage(message);
        const absl::StatusOr<Message> decoded = decodeMessage(frame);
        REQUIRE(decoded.ok());
        CHECK(decoded->index() == message.index());
        CHECK(encodeMessage(*decoded) == frame);
    }
}

TEST_CASE("decoding a damaged frame succeeds or returns an error but does not crash")
{
    Random random(FuzzSeed);
    const std::vector<Message> messages = sampleMessages();
    int rejectedCount = 0;
    for (int round = 0; round < FuzzRounds; ++round) {
        std::string frame = encodeMessage(messages[random.below(messages.size())]);
        const std::uint64_t changes = 1 + random.below(4);
        for (std::uint64_t i = 0; i < changes; ++i)
            frame[random.below(frame.size())] = static_cast<char>(random.below(256));
        if (random.below(4) == 0)
            frame.resize(random.below(frame.size()));
        rejectedCount += decodeMessage(frame).ok() ? 0 : 1;
    }
    CHECK(rejectedCount > FuzzRounds / 4);
}

TEST_CASE("a deeply nested frame is rejected without exhausting the stack")
{
    const std::string nested(4 * 1024 * 1024, '\x81');
    CHECK_FALSE(decodeMessage(nested).ok());
}

} // namespace jacinthshift
