#include <catch2/catch.hpp>

#include "core/text.h"
#include "modules/config/config_codec.h"
#include "servers/log_client.h"

namespace jacinthshift {

namespace {

ServiceSpec service(const std::string &name, const std::string &version = "v1",
                    const std::vector<std::string> &needs = {})
{
    return ServiceSpec{.name = name, .version = version, .needs = needs, .routes = {RouteSpec{}}};
}

ReleasePlan carefulPlan()
{
    return ReleasePlan{.stages = {{.share = 10}, {.share = FullShare}},
                       .finishWithin = std::chrono::hours(1)};
}

/** Folds records into a state and assigns their offsets and ids. */
class Fold
{
    ConfigState m_state;
    int m_lastId = 0;

public:
    const ConfigState &state() const { return m_state; }

    RecordOutcome foldPayload(const std::string &payload)
    {
        return m_state.fold(LogRecord{.offset = m_state.version() + 1, .payload = payload});
    }
    RecordOutcome foldRecord(const RecordBody &body, const std::string &author = "one",
                             const std::string &id = "")
    {
        const std::string recordId = id.empty() ? joinText("r", ++m_lastId) : id;
        return foldPayload(ConfigCodec::encodeRecord(
                ConfigRecord{.header = {.id = recordId, .author = author}, .body = body}));
    }
};

PublishRecord publish(const ServiceSpec &spec, std::uint64_t base, const ReleasePlan &plan = {})
{
    return PublishRecord{.changes = {{.spec = spec, .baseRevision = base}}, .plan = plan};
}

} // namespace

TEST_CASE("a record with an outdated base is rejected, and the reason names the conflicting author")
{
    Fold fold;
    REQUIRE(fold.foldRecord(publish(service("a"), 0)).accepted);
    REQUIRE(fold.foldRecord(publish(service("a", "v2"), 1), "first").accepted);
    const RecordOutcome conflict = fold.foldRecord(publish(service("a", "v3"), 1), "second");
    CHECK_FALSE(conflict.accepted);
    CHECK(conflict.reason.find("by first") != std::string::npos);
    CHECK(fold.state().findService("a")->stable->version == "v2");
}

TEST_CASE("a second record with the same id is rejected")
{
    Fold fold;
    REQUIRE(fold.foldRecord(publish(service("a"), 0), "one", "same").accepted);
    CHECK_FALSE(fold.foldRecord(publish(service("a", "v2"), 1), "one", "same").accepted);
    CHECK(fold.state().findOutcome("same")->accepted);
    CHECK(fold.state().findService("a")->stable->version == "v1");
}

TEST_CASE("a service with an unknown need and the removal of a needed service are rejected")
{
    Fold fold;
    CHECK_FALSE(fold.foldRecord(publish(service("a", "v1", {"b"}), 0)).accepted);
    REQUIRE(fold.foldRecord(PublishRecord{.changes = {{.spec = service("a", "v1", {"b"})},
                                                      {.spec = service("b")}}})
                    .accepted);
    const RecordOutcome removal =
            fold.foldRecord(PublishRecord{.removals = {{.name = "b", .baseRevision = 2}}});
    CHECK_FALSE(removal.accepted);
    CHECK(removal.reason.find("a needs service b") != std::string::npos);
}

TEST_CASE("a record with one invalid change is rejected as a whole")
{
    Fold fold;
    CHECK_FALSE(fold.foldRecord(PublishRecord{.changes = {{.spec = service("good")},
                                                          {.spec = service("Bad Name")}}})
                        .accepted);
    CHECK(fold.state().findService("good") == nullptr);
}

TEST_CASE("records that cannot be decoded are rejected and advance the version")
{
    Fold fold;
    for (const std::string &payload :
         {std::string("not json"), std::string("{}"), std::string(R"({"header":{"format":9}})"),
          std::string("\xff\xfe"), std::string(ConfigCodec::MaxRecordBytes + 1, 'x'),
          std::string(R"({"header":{"format":99,"id":"x","author":"y","at":1},"type":"publish"})"),
          std::string(R"({"header":{"format":1,"id":"x","author":"y","at":1},"type":"new"})")}) {
        const RecordOutcome outcome = fold.foldPayload(payload);
        CHECK_FALSE(outcome.accepted);
        CHECK_FALSE(outcome.reason.empty());
    }
    CHECK(fold.state().version() == 7);
    CHECK(fold.foldRecord(publish(service("a"), 0)).accepted);
}

TEST_CASE("each step of a release is accepted once and in order")
{
    Fold fold;
    REQUIRE(fold.foldRecord(publish(service("a"), 0)).accepted);
    REQUIRE(fold.foldRecord(publish(service("a", "v2"), 1, carefulPlan()), "one", "rel").accepted);
    CHECK_FALSE(fold.foldRecord(ReleaseStepRecord{.release = "rel", .stage = 2}).accepted);
    CHECK(fold.foldRecord(ReleaseStepRecord{.release = "rel", .stage = 1}, "first").accepted);
    CHECK_FALSE(fold.foldRecord(ReleaseStepRecord{.release = "rel", .stage = 1}, "late").accepted);
    CHECK_FALSE(fold.foldRecord(publish(service("a", "v3"), 2)).accepted);
    CHECK(fold.foldRecord(ReleaseFinishRecord{.release = "rel"}).accepted);
    CHECK_FALSE(fold.foldRecord(ReleaseStepRecord{.release = "rel", .stage = 1}).accepted);
    CHECK(fold.state().findService("a")->stable->version == "v1");
    CHECK(fold.foldRecord(ReleaseWithdrawRecord{.release = "rel", .reason = "late fault"})
                  .accepted);
    CHECK_FALSE(fold.foldRecord(ReleaseFinishRecord{.release = "rel"}).accepted);
    CHECK(fold.state().findService("a")->candidate == nullptr);
}

TEST_CASE("withdrawing the release of a new service removes the service")
{
    Fold fold;
    REQUIRE(fold.foldRecord(publish(service("a"), 0, carefulPlan()), "one", "rel").accepted);
    CHECK_FALSE(fold.foldRecord(publish(service("b", "v1", {"a"}), 0)).accepted);
    REQUIRE(fold.foldRecord(ReleaseWithdrawRecord{.release = "rel"}).accepted);
    CHECK(fold.state().findService("a") == nullptr);
}

TEST_CASE("a snapshot restores the same state, and an altered or truncated one is rejected")
{
    Fold fold;
    fold.foldRecord(publish(service("a"), 0));
    fold.foldRecord(publish(service("a", "v2"), 1, carefulPlan()));
    fold.foldRecord(DomainAvailabilityRecord{.domain = "riga", .out = true});
    const std::string snapshot = ConfigCodec::encodeSnapshot(fold.state());
    absl::StatusOr<ConfigState> restored = ConfigCodec::decodeSnapshot(snapshot);
    REQUIRE(restored.ok());
    CHECK(ConfigCodec::encodeSnapshot(*restored) == snapshot);
    CHECK(restored->isDomainTakenOut("riga"));
    std::string altered = snapshot;
    altered[altered.find("v2") + 1] = '3';
    CHECK_FALSE(ConfigCodec::decodeSnapshot(altered).ok());
    CHECK_FALSE(ConfigCodec::decodeSnapshot(snapshot.substr(0, snapshot.size() / 2)).ok());
}

} // namespace jacinthshift
