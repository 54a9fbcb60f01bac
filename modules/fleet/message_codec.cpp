#include "modules/fleet/message_codec.h"

#include <nlohmann/json.hpp>

#include "core/cbor_nesting.h"
#include "core/compression.h"
#include "core/text.h"

namespace jacinthshift {

namespace {

using nlohmann::json;

constexpr std::size_t MaxNestingDepth = 8;
constexpr std::size_t MaxUnpackedPageBytes = 64 * 1024 * 1024;

json encodeBytes(const std::string &text)
{
    return json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string decodeBytes(const json &source)
{
    const json::binary_t &binary = source.get_binary();
    return {binary.begin(), binary.end()};
}

std::chrono::milliseconds decodeMilliseconds(const json &source)
{
    return std::chrono::milliseconds(source.get<std::int64_t>());
}

/** Decodes an enumerator; throws if a peer sent a value above the last known one. */
template <typename Enum>
Enum decodeEnumerator(const json &source, Enum last)
{
    const int number = source.get<int>();
    if (number < 0 || number > static_cast<int>(last))
        throw json::out_of_range::create(401, "unknown enumerator", &source);
    return static_cast<Enum>(number);
}

// Encodes all headers as one byte string of "name:value" lines: one allocation instead of two per
// header.
json packHeaders(const std::vector<HttpHeader> &headers)
{
    std::string packed;
    for (const HttpHeader &header : headers)
        packed.append(header.name).append(":").append(header.value).append("\n");
    return encodeBytes(packed);
}

std::vector<HttpHeader> unpackHeaders(const json &source)
{
    const json::binary_t &binary = source.get_binary();
    const std::string_view packed(reinterpret_cast<const char *>(binary.data()), binary.size());
    std::vector<HttpHeader> headers;
    std::size_t begin = 0;
    while (begin < packed.size()) {
        const std::size_t end = packed.find('\n', begin);
        const std::size_t colon = packed.find(':', begin);
        if (end == std::string_view::npos || colon == std::string_view::npos || colon > end)
            throw json::other_error::create(501, "malformed headers", &source);
        headers.push_back(
                HttpHeader{.name = std::string(packed.substr(begin, colon - begin)),
                           .value = std::string(packed.substr(colon + 1, end - colon - 1))});
        begin = end + 1;
    }
    return headers;
}

json encodeContact(const NodeContact &contact)
{
    return {contact.node,        contact.domain,  contact.linkEndpoint.text(),
            contact.incarnation, contact.service, contact.relayCapacity};
}

NodeContact decodeContact(const json &source)
{
    const absl::StatusOr<Endpoint> linkEndpoint = parseEndpoint(source.at(2).get<std::string>());
    if (!linkEndpoint.ok())
        throw json::other_error::create(501, std::string(linkEndpoint.status().message()), &source);
    return NodeContact{.node = source.at(0),
                       .domain = source.at(1),
                       .linkEndpoint = *linkEndpoint,
                       .incarnation = source.at(3),
                       .service = source.at(4),
                       .relayCapacity = source.at(5)};
}

json encodeBackend(const BackendStatus &status)
{
    return {static_cast<int>(status.availability),
            status.id,
            status.service,
            status.version,
            status.concurrencyLimit,
            status.running,
            status.queued,
            status.startsPerSecond,
            status.serviceTime.count(),
            status.failuresPerThousand,
            status.braked,
            status.requestRateLimit,
            status.startedAt,
            status.leaving,
            status.responseBacklog.count()};
}

BackendStatus decodeBackend(const json &source)
{
    return BackendStatus{.availability =
                                 decodeEnumerator(source.at(0), BackendAvailability::Draining),
                         .id = source.at(1),
                         .startedAt = source.at(12),
                         .leaving = source.at(13),
                         .service = source.at(2),
                         .version = source.at(3),
                         .concurrencyLimit = source.at(4),
                         .running = source.at(5),
                         .queued = source.at(6),
                         .startsPerSecond = source.at(7),
                         .serviceTime = decodeMilliseconds(source.at(8)),
                         .failuresPerThousand = source.at(9),
                         .braked = source.at(10),
                         .requestRateLimit = source.at(11),
                         .responseBacklog = decodeMilliseconds(source.at(14))};
}

json encodePage(const KeyedPage &page)
{
    json records = json::array();
    for (const KeyedRecord &record : page.records)
        records.push_back({record.key, encodeBytes(record.value), record.offset, record.era});
    return {page.endOffset, records, page.isWholeTable, page.era};
}

KeyedPage decodePage(const json &source)
{
    KeyedPage page{.endOffset = source.at(0), .era = source.at(3), .isWholeTable = source.at(2)};
    for (const json &record : source.at(1)) {
        page.records.push_back(KeyedRecord{.key = record.at(0),
                                           .value = decodeBytes(record.at(1)),
                                           .offset = record.at(2),
                                           .era = record.at(3)});
    }
    return page;
}

json encodeCounts(const ArmEvidence &counts)
{
    return {counts.requests, counts.failures, counts.refused, counts.latency};
}

ArmEvidence decodeCounts(const json &source)
{
    ArmEvidence counts;
    source.at(0).get_to(counts.requests);
    source.at(1).get_to(counts.failures);
    source.at(2).get_to(counts.refused);
    source.at(3).get_to(counts.latency);
    return counts;
}

json encode(const GreetingMessage &message)
{
    return {message.protocol, encodeContact(message.self), message.uptime.count()};
}

void decode(const json &source, GreetingMessage &message)
{
    source.at(0).get_to(message.protocol);
    message.self = decodeContact(source.at(1));
    message.uptime = std::chrono::milliseconds(source.at(2).get<std::int64_t>());
}

json encode(const StatusMessage &message)
{
    return {message.tableEnd.offset,        message.leaving,       message.readsLog,
            encodeBackend(message.backend), message.relayCapacity, message.tableEnd.era};
}

void decode(const json &source, StatusMessage &message)
{
    source.at(0).get_to(message.tableEnd.offset);
    source.at(1).get_to(message.leaving);
    source.at(2).get_to(message.readsLog);
    message.backend = decodeBackend(source.at(3));
    source.at(4).get_to(message.relayCapacity);
    source.at(5).get_to(message.tableEnd.era);
}

json encode(const WorkCallMessage &message)
{
    const WorkRequest &work = message.work;
    return {message.call,
            work.request.method,
            encodeBytes(work.request.target),
            packHeaders(work.request.headers),
            encodeBytes(work.request.body),
            work.route,
            work.service,
            work.callerService,
            work.priority,
            work.idempotent,
            work.isCallerRetry,
            work.mayHaveRun,
            work.timeLeft.count(),
            work.targetTimeLeft.count(),
            work.version,
            message.callerProcess,
            work.workspace};
}

void decode(const json &source, WorkCallMessage &message)
{
    WorkRequest &work = message.work;
    source.at(0).get_to(message.call);
    source.at(1).get_to(work.request.method);
    work.request.target = decodeBytes(source.at(2));
    work.request.headers = unpackHeaders(source.at(3));
    work.request.body = decodeBytes(source.at(4));
    source.at(5).get_to(work.route);
    source.at(6).get_to(work.service);
    source.at(7).get_to(work.callerService);
    source.at(8).get_to(work.priority);
    source.at(9).get_to(work.idempotent);
    source.at(10).get_to(work.isCallerRetry);
    source.at(11).get_to(work.mayHaveRun);
    work.timeLeft = decodeMilliseconds(source.at(12));
    work.targetTimeLeft = decodeMilliseconds(source.at(13));
    source.at(14).get_to(work.version);
    source.at(15).get_to(message.callerProcess);
    source.at(16).get_to(work.workspace);
}

json encode(const WorkResultMessage &message)
{
    const WorkResult &result = message.result;
    return {message.call,
            static_cast<int>(result.verdict),
            static_cast<int>(result.refusal),
            result.reachedBackend,
            result.retryAfter.count(),
            result.response.status,
            packHeaders(result.response.headers),
            encodeBytes(result.response.body),
            message.load.concurrencyLimit,
            message.load.running,
            message.load.queued,
            message.load.startsPerSecond,
            message.load.serviceTime.count(),
            message.load.failuresPerThousand,
            message.load.requestRateLimit,
            message.load.responseBacklog.count(),
            message.followingBodyBytes,
            message.callerProcess};
}

void decode(const json &source, WorkResultMessage &message)
{
    WorkResult &result = message.result;
    source.at(0).get_to(message.call);
    result.verdict = decodeEnumerator(source.at(1), Verdict::MayHaveRun);
    result.refusal = decodeEnumerator(source.at(2), WorkRefusal::LinkBusy);
    source.at(3).get_to(result.reachedBackend);
    result.retryAfter = decodeMilliseconds(source.at(4));
    source.at(5).get_to(result.response.status);
    result.response.headers = unpackHeaders(source.at(6));
    result.response.body = decodeBytes(source.at(7));
    source.at(8).get_to(message.load.concurrencyLimit);
    source.at(9).get_to(message.load.running);
    source.at(10).get_to(message.load.queued);
    source.at(11).get_to(message.load.startsPerSecond);
    message.load.serviceTime = decodeMilliseconds(source.at(12));
    source.at(13).get_to(message.load.failuresPerThousand);
    source.at(14).get_to(message.load.requestRateLimit);
    message.load.responseBacklog = decodeMilliseconds(source.at(15));
    source.at(16).get_to(message.followingBodyBytes);
    source.at(17).get_to(message.callerProcess);
}

json encode(const ResponsePartMessage &message)
{
    return {message.call, message.offset, encodeBytes(message.bytes), message.callerProcess};
}

void decode(const json &source, ResponsePartMessage &message)
{
    source.at(0).get_to(message.call);
    source.at(1).get_to(message.offset);
    message.bytes = decodeBytes(source.at(2));
    source.at(3).get_to(message.callerProcess);
}

json encode(const WorkCancelMessage &message)
{
    return {message.call, message.callerProcess};
}

void decode(const json &source, WorkCancelMessage &message)
{
    source.at(0).get_to(message.call);
    source.at(1).get_to(message.callerProcess);
}

json encode(const WorkResumeMessage &message)
{
    return {message.calls, message.callerProcess, message.lastCall};
}

void decode(const json &source, WorkResumeMessage &message)
{
    source.at(0).get_to(message.calls);
    source.at(1).get_to(message.callerProcess);
    source.at(2).get_to(message.lastCall);
}

json encode(const TableFetchMessage &message)
{
    return {message.from.offset, message.from.era};
}

void decode(const json &source, TableFetchMessage &message)
{
    source.at(0).get_to(message.from.offset);
    source.at(1).get_to(message.from.era);
}

json encode(const TableRecordsMessage &message)
{
    return encodeBytes(message.packedPage);
}

void decode(const json &source, TableRecordsMessage &message)
{
    message.packedPage = decodeBytes(source);
}

json encode(const VersionEvidenceMessage &message)
{
    json routes = json::array();
    for (const VersionEvidence &evidence : message.routes)
        routes.push_back({evidence.route, encodeCounts(evidence.counts)});
    return {message.service, message.version,     message.backend, routes,
            message.node,    message.incarnation, message.sequence};
}

void decode(const json &source, VersionEvidenceMessage &message)
{
    source.at(0).get_to(message.service);
    source.at(1).get_to(message.version);
    source.at(2).get_to(message.backend);
    for (const json &route : source.at(3)) {
        message.routes.push_back(
                VersionEvidence{.route = route.at(0), .counts = decodeCounts(route.at(1))});
    }
    source.at(4).get_to(message.node);
    source.at(5).get_to(message.incarnation);
    source.at(6).get_to(message.sequence);
}

json encode(const EvidenceBatchMessage &message)
{
    json reports = json::array();
    for (const VersionEvidenceMessage &report : message.reports)
        reports.push_back(encode(report));
    return reports;
}

void decode(const json &source, EvidenceBatchMessage &message)
{
    for (const json &report : source)
        decode(report, message.reports.emplace_back());
}

json encode(const CrashSuspectMessage &message)
{
    return {message.fingerprint, message.backend};
}

void decode(const json &source, CrashSuspectMessage &message)
{
    source.at(0).get_to(message.fingerprint);
    source.at(1).get_to(message.backend);
}

json encode(const BackendLeftMessage &message)
{
    return {message.backend.id, message.backend.startedAt};
}

void decode(const json &source, BackendLeftMessage &message)
{
    source.at(0).get_to(message.backend.id);
    source.at(1).get_to(message.backend.startedAt);
}

json encode(const KnownCrashesMessage &message)
{
    json crashes = json::array();
    for (const CrashSuspectMessage &crash : message.crashes)
        crashes.push_back(encode(crash));
    return crashes;
}

void decode(const json &source, KnownCrashesMessage &message)
{
    for (const json &crash : source)
        decode(crash, message.crashes.emplace_back());
}

json encode(const RolloutProgressMessage &message)
{
    return {message.service, message.targetVersion, message.step, static_cast<int>(message.outcome),
            message.domainDone};
}

void decode(const json &source, RolloutProgressMessage &message)
{
    source.at(0).get_to(message.service);
    source.at(1).get_to(message.targetVersion);
    source.at(2).get_to(message.step);
    message.outcome = decodeEnumerator(source.at(3), RolloutOutcome::RolledBack);
    source.at(4).get_to(message.domainDone);
}

json encode(const ProbeMessage &message)
{
    return message.reply;
}

void decode(const json &source, ProbeMessage &message)
{
    source.get_to(message.reply);
}

json encode(const ContactsFetchMessage &message)
{
    return message.known;
}

void decode(const json &source, ContactsFetchMessage &message)
{
    source.get_to(message.known);
}

json encode(const ContactsMessage &message)
{
    json contacts = json::array();
    for (const NodeContact &contact : message.contacts)
        contacts.push_back(encodeContact(contact));
    return contacts;
}

void decode(const json &source, ContactsMessage &message)
{
    for (const json &contact : source)
        message.contacts.push_back(decodeContact(contact));
}

json encode(const UsageCountsMessage &message)
{
    return {message.incarnation, message.window, message.sequence, json(message.counts)};
}

void decode(const json &source, UsageCountsMessage &message)
{
    source.at(0).get_to(message.incarnation);
    source.at(1).get_to(message.window);
    source.at(2).get_to(message.sequence);
    source.at(3).get_to(message.counts);
}

json encode(const UsageFetchMessage &message)
{
    return message.window;
}

void decode(const json &source, UsageFetchMessage &message)
{
    source.get_to(message.window);
}

json encode(const UsageSumMessage &message)
{
    return {message.window, message.processes, json(message.counts)};
}

void decode(const json &source, UsageSumMessage &message)
{
    source.at(0).get_to(message.window);
    source.at(1).get_to(message.processes);
    source.at(2).get_to(message.counts);
}

json encode(const UsageSealedMessage &message)
{
    return {message.report.window, json(message.report.counts)};
}

void decode(const json &source, UsageSealedMessage &message)
{
    source.at(0).get_to(message.report.window);
    source.at(1).get_to(message.report.counts);
}

/** Decodes the fields of the alternative with this number, which must be below the variant size. */
template <std::size_t Index = 0>
FleetMessage decodeAlternative(std::size_t number, const json &fields)
{
    if constexpr (Index + 1 < std::variant_size_v<FleetMessage>) {
        if (number != Index)
            return decodeAlternative<Index + 1>(number, fields);
    }
    std::variant_alternative_t<Index, FleetMessage> message;
    decode(fields, message);
    return message;
}

} // namespace

std::string packPage(const KeyedPage &page)
{
    std::string plain;
    json::to_cbor(encodePage(page), plain);
    return compressBytes(plain);
}

absl::StatusOr<KeyedPage> unpackPage(const std::string &packed)
{
    const absl::StatusOr<std::string> plain = decompressBytes(packed, MaxUnpackedPageBytes);
    if (!plain.ok())
        return plain.status();
    if (!isBoundedCbor(*plain, MaxNestingDepth))
        return absl::InvalidArgumentError("the page is not CBOR or is nested too deeply");
    try {
        return decodePage(json::from_cbor(*plain));
    } catch (const json::exception &error) {
        return absl::InvalidArgumentError(joinText("malformed page: ", error.what()));
    }
}

std::string encodeFleetMessage(const FleetMessage &message)
{
    const json fields =
            std::visit([](const auto &alternative) { return encode(alternative); }, message);
    json envelope = json::array();
    envelope.push_back(message.index());
    envelope.push_back(fields);
    std::string frame;
    json::to_cbor(envelope, frame);
    return frame;
}

absl::StatusOr<FleetMessage> decodeFleetMessage(const std::string &frame)
{
    if (!isBoundedCbor(frame, MaxNestingDepth))
        return absl::InvalidArgumentError("the frame is not CBOR or is nested too deeply");
    try {
        const json envelope = json::from_cbor(frame);
        const std::size_t typeNumber = envelope.at(0).get<std::size_t>();
        if (typeNumber >= std::variant_size_v<FleetMessage>)
            return absl::InvalidArgumentError(joinText("unknown message type ", typeNumber));
        return decodeAlternative(typeNumber, envelope.at(1));
    } catch (const json::exception &error) {
        return absl::InvalidArgumentError(joinText("malformed frame: ", error.what()));
    }
}

} // namespace jacinthshift
