#include "modules/mesh/message_codec.h"

#include <nlohmann/json.hpp>

#include "core/cbor_nesting.h"
#include "core/text.h"

namespace nlohmann {

template <>
struct adl_serializer<std::chrono::milliseconds>
{
    static void to_json(json &target, const std::chrono::milliseconds &duration)
    {
        target = duration.count();
    }
    static void from_json(const json &source, std::chrono::milliseconds &duration)
    {
        duration = std::chrono::milliseconds(source.get<std::int64_t>());
    }
};

} // namespace nlohmann

namespace jacinthshift {

using nlohmann::json;

// Bodies and snapshots are CBOR byte strings because they need not be valid UTF-8.
static json byteString(const std::string &bytes)
{
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

static std::string bytesFrom(const json &source)
{
    const json::binary_t &bytes = source.get_binary();
    return {bytes.begin(), bytes.end()};
}

static void to_json(json &target, const Endpoint &endpoint)
{
    target = endpoint.text();
}

static void from_json(const json &source, Endpoint &endpoint)
{
    const absl::StatusOr<Endpoint> parsed = parseEndpoint(source.get<std::string>());
    if (!parsed.ok())
        throw json::other_error::create(501, std::string(parsed.status().message()), &source);
    endpoint = *parsed;
}

// Headers are byte strings because CBOR text must be valid UTF-8 and their values need not be.
static void to_json(json &target, const HttpHeader &header)
{
    target = json::array({byteString(header.name), byteString(header.value)});
}

static void from_json(const json &source, HttpHeader &header)
{
    header.name = bytesFrom(source.at(0));
    header.value = bytesFrom(source.at(1));
}

static void to_json(json &target, const HttpRequest &request)
{
    target = json::array({request.method, byteString(request.target), request.headers,
                          byteString(request.body)});
}

static void from_json(const json &source, HttpRequest &request)
{
    source.at(0).get_to(request.method);
    request.target = bytesFrom(source.at(1));
    source.at(2).get_to(request.headers);
    request.body = bytesFrom(source.at(3));
}

static void to_json(json &target, const HttpResponse &response)
{
    target = json::array({response.status, response.headers, byteString(response.body)});
}

static void from_json(const json &source, HttpResponse &response)
{
    source.at(0).get_to(response.status);
    source.at(1).get_to(response.headers);
    response.body = bytesFrom(source.at(2));
}

static void to_json(json &target, const LogRecord &record)
{
    target = json::array({record.offset, byteString(record.payload)});
}

static void from_json(const json &source, LogRecord &record)
{
    source.at(0).get_to(record.offset);
    record.payload = bytesFrom(source.at(1));
}

static void to_json(json &target, const SnapshotMessage &message)
{
    target = byteString(message.snapshot);
}

static void from_json(const json &source, SnapshotMessage &message)
{
    message.snapshot = bytesFrom(source);
}

// Rejects enumerator values that this program does not define.
template <typename Enum>
static Enum enumFrom(const json &source, Enum last)
{
    const int number = source.get<int>();
    if (number < 0 || number > static_cast<int>(last))
        throw json::out_of_range::create(401, "unknown enumerator", &source);
    return static_cast<Enum>(number);
}

static void from_json(const json &source, MemberStatus &status)
{
    status = enumFrom(source, MemberStatus::Left);
}

static void from_json(const json &source, BackendState &state)
{
    state = enumFrom(source, BackendState::Leaving);
}

static void from_json(const json &source, Verdict &verdict)
{
    verdict = enumFrom(source, Verdict::MayHaveRun);
}

static void from_json(const json &source, CallProblem &problem)
{
    problem = enumFrom(source, CallProblem::TimedOut);
}

// The macro generates both directions from a single list of fields. Linter findings inside its
// expansion are suppressed.
// NOLINTBEGIN
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberRecord, node, domain, links, incarnation, sequence, status,
                                   backend, service, version, slots, backendSince)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HelloMessage, protocol, mesh, member, applied, serving,
                                   witnessed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PingMessage, reply, applied, serving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MembersMessage, records)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DigestMessage, buckets, reply)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FetchMessage, from, subscribe, subtreeNodes, subtreeOldest,
                                   subtreeLate)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecordsMessage, records, chainHash)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallMessage, id, service, version, request, timeout, trace,
                                   idempotencyKey, idempotent, handKeyOver)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnswerMessage, id, verdict, problem, response, limit, inFlight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelMessage, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ArmEvidence, requests, failures, refused, latency)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RouteEvidence, service, route, stable, candidate)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EvidenceMessage, node, incarnation, release, routes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(BrakeMessage, release, node, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SuspectRequestMessage, fingerprint, node, cleared)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StatusRequestMessage, id)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StatusReplyMessage, id, domain, nodes, oldest, applied, late)
// NOLINTEND

namespace {

constexpr int MaxNestingDepth = 16;

/** Decodes the alternative of Message with the given index. */
template <std::size_t Index = 0>
Message decodeAlternative(std::size_t index, const json &fields)
{
    if constexpr (Index < std::variant_size_v<Message>) {
        if (index == Index)
            return fields.get<std::variant_alternative_t<Index, Message>>();
        return decodeAlternative<Index + 1>(index, fields);
    } else {
        throw json::out_of_range::create(401, "unknown message type", &fields);
    }
}

} // namespace

std::string encodeMessage(const Message &message)
{
    const json fields = std::visit([](const auto &body) { return json(body); }, message);
    std::string frame;
    json::to_cbor(json::array({message.index(), fields}), frame);
    return frame;
}

absl::StatusOr<Message> decodeMessage(const std::string &frame)
{
    if (!isBoundedCbor(frame, MaxNestingDepth))
        return absl::InvalidArgumentError("the frame is not CBOR or is nested too deeply");
    try {
        const json item = json::from_cbor(frame);
        return decodeAlternative(item.at(0).get<std::size_t>(), item.at(1));
    } catch (const json::exception &error) {
        return absl::InvalidArgumentError(joinText("the frame is malformed: ", error.what()));
    }
}

std::string callProblemName(CallProblem problem)
{
    switch (problem) {
    case CallProblem::None:
        return "none";
    case CallProblem::Overloaded:
        return "overloaded";
    case CallProblem::NotOwner:
        return "not-owner";
    case CallProblem::DomainOut:
        return "domain-out";
    case CallProblem::DeadlinePassed:
        return "deadline-passed";
    case CallProblem::Poisoned:
        return "poisoned";
    case CallProblem::KeyInUse:
        return "key-in-use";
    case CallProblem::BackendFailed:
        return "backend-failed";
    case CallProblem::BackendCrashed:
        return "backend-crashed";
    case CallProblem::LinkLost:
        return "link-lost";
    case CallProblem::TimedOut:
        return "timed-out";
    }
    return "none";
}

} // namespace jacinthshift
