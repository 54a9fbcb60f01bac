#include "modules/fleet/message_codec.h"

#include <algorithm>
#include <array>
#include <concepts>
#include <limits>
#include <type_traits>

#include "core/cbor_reader.h"
#include "core/cbor_writer.h"
#include "core/compression.h"
#include "core/text.h"

namespace jacinthshift {

namespace {

/** The store's records are at most 256 KB each; the rollouts of 2,800 services take less than 1 MB.
 */
constexpr std::size_t MaxUnpackedPageBytes = 16 * 1024 * 1024;
constexpr std::size_t MaxTextBytes = 64 * 1024;
constexpr std::uint64_t MaxElements = 100'000; ///< A mesh has 25,000 nodes at most.
constexpr std::size_t TypicalFrameBytes = 512; // Besides bodies.

template <typename Enum>
concept Enumeration = std::is_enum_v<Enum>;

// The last enumerator of each enumeration; a peer must not send a higher number.
constexpr BackendAvailability lastEnumerator(BackendAvailability)
{
    return BackendAvailability::Draining;
}

constexpr Verdict lastEnumerator(Verdict)
{
    return Verdict::MayHaveRun;
}

constexpr WorkRefusal lastEnumerator(WorkRefusal)
{
    return WorkRefusal::LinkBusy;
}

constexpr RolloutOutcome lastEnumerator(RolloutOutcome)
{
    return RolloutOutcome::RolledBack;
}

/** A string that is encoded as a byte string, as it may be no valid UTF-8. */
template <typename String>
struct Bytes
{
    String &string;

    explicit Bytes(String &value) : string(value) {}
};

/** A text that the receiver stores for long. */
template <typename String>
struct Name
{
    String &string;

    explicit Name(String &value) : string(value) {}
};

/** Headers, encoded as one byte string of "name:value" lines: fewer items than one per header. */
template <typename Headers>
struct PackedHeaders
{
    Headers &headers;

    explicit PackedHeaders(Headers &value) : headers(value) {}
};

// Functions that write one value.

void encode(CborWriter &writer, bool value)
{
    writer.writeBool(value);
}

void encode(CborWriter &writer, std::unsigned_integral auto value)
{
    writer.writeUnsigned(value);
}

void encode(CborWriter &writer, std::signed_integral auto value)
{
    writer.writeInteger(value);
}

void encode(CborWriter &writer, double value)
{
    writer.writeDouble(value);
}

void encode(CborWriter &writer, Enumeration auto value)
{
    writer.writeInteger(static_cast<int>(value));
}

void encode(CborWriter &writer, std::chrono::milliseconds value)
{
    writer.writeInteger(value.count());
}

void encode(CborWriter &writer, const std::string &text)
{
    writer.writeText(text);
}

void encode(CborWriter &writer, const Name<const std::string> &name)
{
    writer.writeText(name.string);
}

void encode(CborWriter &writer, const Endpoint &endpoint)
{
    writer.writeText(endpoint.text());
}

void encode(CborWriter &writer, const Bytes<const std::string> &bytes)
{
    writer.writeBytes(bytes.string);
}

void encode(CborWriter &writer, const Bytes<const SharedBytes> &bytes)
{
    writer.writeBytes(bytes.string.string());
}

void encode(CborWriter &writer, const PackedHeaders<const std::vector<HttpHeader>> &packed)
{
    std::string lines;
    std::size_t size = 0;
    for (const HttpHeader &header : packed.headers)
        size += header.name.size() + header.value.size() + 2;
    lines.reserve(size);
    for (const HttpHeader &header : packed.headers)
        lines.append(header.name).append(":").append(header.value).append("\n");
    writer.writeBytes(lines);
}

// Functions that read one value.

void decode(CborReader &reader, bool &value)
{
    value = reader.takeBool();
}

template <std::unsigned_integral Number>
void decode(CborReader &reader, Number &value)
{
    const std::uint64_t number = reader.takeUnsigned();
    if (number > std::numeric_limits<Number>::max())
        throw CborError("a number is out of range");
    value = static_cast<Number>(number);
}

template <std::signed_integral Number>
void decode(CborReader &reader, Number &value)
{
    const std::int64_t number = reader.takeInteger();
    if (number < std::numeric_limits<Number>::min() || number > std::numeric_limits<Number>::max())
        throw CborError("a number is out of range");
    value = static_cast<Number>(number);
}

void decode(CborReader &reader, double &value)
{
    value = reader.takeDouble();
}

template <Enumeration Enum>
void decode(CborReader &reader, Enum &value)
{
    const std::int64_t number = reader.takeInteger();
    if (number < 0 || number > static_cast<std::int64_t>(lastEnumerator(value)))
        throw CborError("unknown enumerator");
    value = static_cast<Enum>(number);
}

void decode(CborReader &reader, std::chrono::milliseconds &value)
{
    value = std::chrono::milliseconds(reader.takeInteger());
}

std::string_view takeText(CborReader &reader, std::size_t maxBytes)
{
    const std::string_view text = reader.takeText();
    if (text.size() > maxBytes)
        throw CborError("a text is too long");
    return text;
}

void decode(CborReader &reader, std::string &text)
{
    text = takeText(reader, MaxTextBytes);
}

void decode(CborReader &reader, const Name<std::string> &name)
{
    name.string = takeText(reader, MaxNameBytes);
}

void decode(CborReader &reader, Endpoint &endpoint)
{
    absl::StatusOr<Endpoint> parsed = parseEndpoint(reader.takeText());
    if (!parsed.ok())
        throw CborError(std::string(parsed.status().message()));
    endpoint = *std::move(parsed);
}

void decode(CborReader &reader, const Bytes<std::string> &bytes)
{
    bytes.string = reader.takeBytes();
}

void decode(CborReader &reader, const Bytes<SharedBytes> &bytes)
{
    bytes.string = SharedBytes(reader.takeBytes());
}

void decode(CborReader &reader, const PackedHeaders<std::vector<HttpHeader>> &packed)
{
    std::string_view lines = reader.takeBytes();
    packed.headers.reserve(static_cast<std::size_t>(std::count(lines.begin(), lines.end(), '\n')));
    while (!lines.empty()) {
        const std::size_t end = lines.find('\n');
        const std::size_t colon = lines.find(':');
        if (end == std::string_view::npos || colon == std::string_view::npos || colon > end)
            throw CborError("malformed headers");
        packed.headers.push_back(
                HttpHeader{.name = std::string(lines.substr(0, colon)),
                           .value = std::string(lines.substr(colon + 1, end - colon - 1))});
        lines.remove_prefix(end + 1);
    }
}

// Functions for arrays, whose elements may be of the types declared first.

void encode(CborWriter &writer, const ArmEvidence &value);
void decode(CborReader &reader, ArmEvidence &value);
void encode(CborWriter &writer, const NodeContact &value);
void decode(CborReader &reader, NodeContact &value);
void encode(CborWriter &writer, const BackendStatus &value);
void decode(CborReader &reader, BackendStatus &value);
void encode(CborWriter &writer, const KeyedRecord &value);
void decode(CborReader &reader, KeyedRecord &value);
void encode(CborWriter &writer, const VersionEvidence &value);
void decode(CborReader &reader, VersionEvidence &value);
void encode(CborWriter &writer, const VersionEvidenceMessage &value);
void decode(CborReader &reader, VersionEvidenceMessage &value);
void encode(CborWriter &writer, const CrashReport &value);
void decode(CborReader &reader, CrashReport &value);
void encode(CborWriter &writer, const UsageCounts &value);
void decode(CborReader &reader, UsageCounts &value);

/** Writes the first bucket that is not empty and the counts from there to the last such bucket. */
void encode(CborWriter &writer, const LatencyHistogram &histogram)
{
    const auto isUsed = [](std::uint64_t count) {
        return count != 0;
    };
    const auto first = std::find_if(histogram.begin(), histogram.end(), isUsed);
    const auto end = std::find_if(histogram.rbegin(), histogram.rend(), isUsed).base();
    if (first == histogram.end()) {
        writer.beginArray(0);
        return;
    }
    writer.beginArray(static_cast<std::size_t>(end - first) + 1);
    writer.writeUnsigned(static_cast<std::uint64_t>(first - histogram.begin()));
    std::for_each(first, end, [&writer](std::uint64_t count) { writer.writeUnsigned(count); });
}

void decode(CborReader &reader, LatencyHistogram &histogram)
{
    histogram.fill(0);
    const std::uint64_t size = reader.beginArray();
    if (size == 0)
        return;
    const std::uint64_t first = reader.takeUnsigned();
    if (first >= histogram.size() || size - 1 > histogram.size() - first)
        throw CborError("more counts than buckets");
    for (std::uint64_t bucket = first; bucket < first + size - 1; ++bucket)
        histogram[bucket] = reader.takeUnsigned();
}

template <typename Element>
void encode(CborWriter &writer, const std::vector<Element> &elements);
template <typename Element>
void decode(CborReader &reader, std::vector<Element> &elements);

/** Writes the fields as the elements of an array. */
template <typename... Fields>
void encodeFields(CborWriter &writer, const Fields &...fields)
{
    writer.beginArray(sizeof...(Fields));
    (encode(writer, fields), ...);
}

/** Reads the elements of an array into the fields and skips elements that follow them. */
template <typename... Fields>
void decodeFields(CborReader &reader, Fields &&...fields)
{
    const std::uint64_t count = reader.beginArray();
    if (count < sizeof...(Fields))
        throw CborError("fields are missing");
    (decode(reader, fields), ...);
    for (std::uint64_t i = sizeof...(Fields); i < count; ++i)
        reader.skip();
}

/** Like decodeFields() with a last field that may be missing. */
template <typename Optional, typename... Fields>
void decodeFieldsAndOptional(CborReader &reader, Optional &last, Fields &&...fields)
{
    std::uint64_t count = reader.beginArray();
    if (count < sizeof...(Fields))
        throw CborError("fields are missing");
    (decode(reader, fields), ...);
    count -= sizeof...(Fields);
    if (count > 0) {
        decode(reader, last);
        --count;
    }
    for (; count > 0; --count)
        reader.skip();
}

void encode(CborWriter &writer, const ArmEvidence &counts)
{
    encodeFields(writer, counts.requests, counts.failures, counts.refused, counts.latency);
}

void decode(CborReader &reader, ArmEvidence &counts)
{
    decodeFields(reader, counts.requests, counts.failures, counts.refused, counts.latency);
}

void encode(CborWriter &writer, const NodeContact &contact)
{
    encodeFields(writer, Name{contact.node}, Name{contact.domain}, contact.linkEndpoint,
                 contact.incarnation, Name{contact.service}, contact.relayCapacity);
}

void decode(CborReader &reader, NodeContact &contact)
{
    decodeFields(reader, Name{contact.node}, Name{contact.domain}, contact.linkEndpoint,
                 contact.incarnation, Name{contact.service}, contact.relayCapacity);
}

void encode(CborWriter &writer, const BackendStatus &status)
{
    encodeFields(writer, status.availability, Name{status.id}, Name{status.service},
                 Name{status.version}, status.concurrencyLimit, status.running, status.queued,
                 status.startsPerSecond, status.serviceTime, status.failuresPerThousand,
                 status.braked, status.requestRateLimit, status.startedAt, status.leaving,
                 status.responseBacklog, status.remainingWork, status.normalRunTime,
                 status.pacePercent);
}

void decode(CborReader &reader, BackendStatus &status)
{
    decodeFields(reader, status.availability, Name{status.id}, Name{status.service},
                 Name{status.version}, status.concurrencyLimit, status.running, status.queued,
                 status.startsPerSecond, status.serviceTime, status.failuresPerThousand,
                 status.braked, status.requestRateLimit, status.startedAt, status.leaving,
                 status.responseBacklog, status.remainingWork, status.normalRunTime,
                 status.pacePercent);
}

void encode(CborWriter &writer, const KeyedRecord &record)
{
    encodeFields(writer, record.key, Bytes{record.value}, record.offset, record.era);
}

void decode(CborReader &reader, KeyedRecord &record)
{
    decodeFields(reader, record.key, Bytes{record.value}, record.offset, record.era);
}

void encode(CborWriter &writer, const KeyedPage &page)
{
    encodeFields(writer, page.endOffset, page.records, page.isWholeTable, page.era);
}

void decode(CborReader &reader, KeyedPage &page)
{
    decodeFields(reader, page.endOffset, page.records, page.isWholeTable, page.era);
}

void encode(CborWriter &writer, const GreetingMessage &message)
{
    encodeFields(writer, message.protocol, message.self, message.uptime);
}

void decode(CborReader &reader, GreetingMessage &message)
{
    decodeFields(reader, message.protocol, message.self, message.uptime);
}

void encode(CborWriter &writer, const StatusMessage &message)
{
    encodeFields(writer, message.tableEnd.offset, message.leaving, message.readsLog,
                 message.backend, message.relayCapacity, message.tableEnd.era);
}

void decode(CborReader &reader, StatusMessage &message)
{
    decodeFields(reader, message.tableEnd.offset, message.leaving, message.readsLog,
                 message.backend, message.relayCapacity, message.tableEnd.era);
}

void encode(CborWriter &writer, const WorkCallMessage &message)
{
    const WorkRequest &work = message.work;
    writer.reserve(TypicalFrameBytes + work.request.body.size());
    const auto encodeWith = [&](const auto &...optional) {
        encodeFields(writer, message.call, work.request.method, Bytes{work.request.target},
                     PackedHeaders{work.request.headers}, Bytes{work.request.body}, work.route,
                     work.service, work.callerService, work.priority, work.idempotent,
                     work.isCallerRetry, work.mayHaveRun, work.timeLeft, work.targetTimeLeft,
                     work.version, message.callerProcess, work.workspace, optional...);
    };
    if (message.followingBodyBytes > 0)
        encodeWith(message.followingBodyBytes);
    else
        encodeWith();
}

void decode(CborReader &reader, WorkCallMessage &message)
{
    WorkRequest &work = message.work;
    decodeFieldsAndOptional(reader, message.followingBodyBytes, message.call, work.request.method,
                            Bytes{work.request.target}, PackedHeaders{work.request.headers},
                            Bytes{work.request.body}, work.route, work.service, work.callerService,
                            work.priority, work.idempotent, work.isCallerRetry, work.mayHaveRun,
                            work.timeLeft, work.targetTimeLeft, work.version, message.callerProcess,
                            work.workspace);
}

void encode(CborWriter &writer, const WorkResultMessage &message)
{
    const WorkResult &result = message.result;
    const BackendLoad &load = message.load;
    writer.reserve(TypicalFrameBytes + result.response.body.size());
    encodeFields(writer, message.call, result.verdict, result.refusal, result.reachedBackend,
                 result.retryAfter, result.response.status, PackedHeaders{result.response.headers},
                 Bytes{result.response.body}, load.concurrencyLimit, load.running, load.queued,
                 load.startsPerSecond, load.serviceTime, load.failuresPerThousand,
                 load.requestRateLimit, load.responseBacklog, message.followingBodyBytes,
                 message.callerProcess, load.remainingWork, load.normalRunTime, load.pacePercent);
}

void decode(CborReader &reader, WorkResultMessage &message)
{
    WorkResult &result = message.result;
    BackendLoad &load = message.load;
    decodeFields(reader, message.call, result.verdict, result.refusal, result.reachedBackend,
                 result.retryAfter, result.response.status, PackedHeaders{result.response.headers},
                 Bytes{result.response.body}, load.concurrencyLimit, load.running, load.queued,
                 load.startsPerSecond, load.serviceTime, load.failuresPerThousand,
                 load.requestRateLimit, load.responseBacklog, message.followingBodyBytes,
                 message.callerProcess, load.remainingWork, load.normalRunTime, load.pacePercent);
}

void encode(CborWriter &writer, const ResponsePartMessage &message)
{
    writer.reserve(TypicalFrameBytes + message.bytes.size());
    encodeFields(writer, message.call, message.offset, Bytes{message.bytes}, message.callerProcess);
}

void decode(CborReader &reader, ResponsePartMessage &message)
{
    decodeFields(reader, message.call, message.offset, Bytes{message.bytes}, message.callerProcess);
}

void encode(CborWriter &writer, const RequestPartMessage &message)
{
    writer.reserve(TypicalFrameBytes + message.bytes.size());
    encodeFields(writer, message.call, message.offset, Bytes{message.bytes}, message.callerProcess);
}

void decode(CborReader &reader, RequestPartMessage &message)
{
    decodeFields(reader, message.call, message.offset, Bytes{message.bytes}, message.callerProcess);
}

void encode(CborWriter &writer, const ResponseRoomMessage &message)
{
    encodeFields(writer, message.call, message.callerProcess);
}

void decode(CborReader &reader, ResponseRoomMessage &message)
{
    decodeFields(reader, message.call, message.callerProcess);
}

void encode(CborWriter &writer, const WorkCancelMessage &message)
{
    encodeFields(writer, message.call, message.callerProcess);
}

void decode(CborReader &reader, WorkCancelMessage &message)
{
    decodeFields(reader, message.call, message.callerProcess);
}

void encode(CborWriter &writer, const WorkResumeMessage &message)
{
    encodeFields(writer, message.calls, message.callerProcess, message.lastCall);
}

void decode(CborReader &reader, WorkResumeMessage &message)
{
    decodeFields(reader, message.calls, message.callerProcess, message.lastCall);
}

void encode(CborWriter &writer, const TableFetchMessage &message)
{
    encodeFields(writer, message.from.offset, message.from.era);
}

void decode(CborReader &reader, TableFetchMessage &message)
{
    decodeFields(reader, message.from.offset, message.from.era);
}

void encode(CborWriter &writer, const TableRecordsMessage &message)
{
    encode(writer, Bytes{message.packedPage});
}

void decode(CborReader &reader, TableRecordsMessage &message)
{
    decode(reader, Bytes{message.packedPage});
}

void encode(CborWriter &writer, const VersionEvidence &evidence)
{
    encodeFields(writer, evidence.route, evidence.counts);
}

void decode(CborReader &reader, VersionEvidence &evidence)
{
    decodeFields(reader, evidence.route, evidence.counts);
}

void encode(CborWriter &writer, const VersionEvidenceMessage &message)
{
    encodeFields(writer, message.service, message.version, message.backend, message.routes,
                 message.node, message.incarnation, message.sequence);
}

void decode(CborReader &reader, VersionEvidenceMessage &message)
{
    decodeFields(reader, message.service, message.version, message.backend, message.routes,
                 message.node, message.incarnation, message.sequence);
}

void encode(CborWriter &writer, const EvidenceBatchMessage &message)
{
    encode(writer, message.reports);
}

void decode(CborReader &reader, EvidenceBatchMessage &message)
{
    decode(reader, message.reports);
}

void encode(CborWriter &writer, const CrashReport &report)
{
    encodeFields(writer, report.fingerprint, Name{report.backend}, report.cleared, report.age);
}

void decode(CborReader &reader, CrashReport &report)
{
    decodeFields(reader, report.fingerprint, Name{report.backend}, report.cleared, report.age);
}

void encode(CborWriter &writer, const BackendLeftMessage &message)
{
    encodeFields(writer, Name{message.backend.id}, message.backend.startedAt);
}

void decode(CborReader &reader, BackendLeftMessage &message)
{
    decodeFields(reader, Name{message.backend.id}, message.backend.startedAt);
}

void encode(CborWriter &writer, const CrashReportsMessage &message)
{
    encode(writer, message.crashes);
}

void decode(CborReader &reader, CrashReportsMessage &message)
{
    decode(reader, message.crashes);
}

void encode(CborWriter &writer, const RolloutProgressMessage &message)
{
    encodeFields(writer, Name{message.service}, Name{message.targetVersion}, message.step,
                 message.outcome, message.domainDone, message.ownerIdle, message.orderAge);
}

void decode(CborReader &reader, RolloutProgressMessage &message)
{
    decodeFields(reader, Name{message.service}, Name{message.targetVersion}, message.step,
                 message.outcome, message.domainDone, message.ownerIdle, message.orderAge);
}

void encode(CborWriter &writer, const ProbeMessage &message)
{
    encode(writer, message.reply);
}

void decode(CborReader &reader, ProbeMessage &message)
{
    decode(reader, message.reply);
}

void encode(CborWriter &writer, const ContactsFetchMessage &message)
{
    encode(writer, message.known);
}

void decode(CborReader &reader, ContactsFetchMessage &message)
{
    decode(reader, message.known);
}

void encode(CborWriter &writer, const ContactsMessage &message)
{
    encode(writer, message.contacts);
}

void decode(CborReader &reader, ContactsMessage &message)
{
    decode(reader, message.contacts);
}

template <typename Element>
void encode(CborWriter &writer, const std::vector<Element> &elements)
{
    writer.beginArray(elements.size());
    for (const Element &element : elements)
        encode(writer, element);
}

template <typename Element>
void decode(CborReader &reader, std::vector<Element> &elements)
{
    std::uint64_t count = reader.beginArray();
    if (count > MaxElements)
        throw CborError("an array has too many elements");
    // No memory is reserved for a count that a peer claims; the elements have to be there.
    for (; count > 0; --count)
        decode(reader, elements.emplace_back());
}

void encode(CborWriter &writer, const KnowledgeQuestionMessage &message)
{
    encode(writer, message.number);
}

void decode(CborReader &reader, KnowledgeQuestionMessage &message)
{
    decode(reader, message.number);
}

void encode(CborWriter &writer, const KnowledgeAnswerMessage &message)
{
    if (message.age)
        encodeFields(writer, message.number, message.configVersion, *message.age);
    else
        encodeFields(writer, message.number, message.configVersion);
}

void decode(CborReader &reader, KnowledgeAnswerMessage &message)
{
    constexpr std::uint64_t RequiredFields = 2;
    const std::uint64_t count = reader.beginArray();
    if (count < RequiredFields)
        throw CborError("fields are missing");
    decode(reader, message.number);
    decode(reader, message.configVersion);
    if (count == RequiredFields)
        return;
    decode(reader, message.age.emplace());
    if (message.age->count() < 0)
        throw CborError("negative age");
    for (std::uint64_t i = RequiredFields + 1; i < count; ++i)
        reader.skip();
}

// The names and numbers of the workspaces, by turns.
void encode(CborWriter &writer, const UsageCounts &counts)
{
    writer.beginArray(2 * counts.size());
    for (const auto &[workspace, runs] : counts) {
        writer.writeText(workspace);
        writer.writeUnsigned(runs);
    }
}

void decode(CborReader &reader, UsageCounts &counts)
{
    const std::uint64_t count = reader.beginArray();
    for (std::uint64_t i = 0; i + 1 < count; i += 2) {
        const std::string workspace(reader.takeText());
        counts[workspace] = reader.takeUnsigned();
    }
    if (count % 2 != 0)
        throw CborError("a workspace has no number");
}

void encode(CborWriter &writer, const UsageCountsMessage &message)
{
    encodeFields(writer, message.incarnation, message.window, message.sequence, message.counts);
}

void decode(CborReader &reader, UsageCountsMessage &message)
{
    decodeFields(reader, message.incarnation, message.window, message.sequence, message.counts);
}

void encode(CborWriter &writer, const UsageFetchMessage &message)
{
    encode(writer, message.window);
}

void decode(CborReader &reader, UsageFetchMessage &message)
{
    decode(reader, message.window);
}

void encode(CborWriter &writer, const UsageSumMessage &message)
{
    encodeFields(writer, message.window, message.processes, message.counts);
}

void decode(CborReader &reader, UsageSumMessage &message)
{
    decodeFields(reader, message.window, message.processes, message.counts);
}

void encode(CborWriter &writer, const UsageSealedMessage &message)
{
    encodeFields(writer, message.report.window, message.report.counts);
}

void decode(CborReader &reader, UsageSealedMessage &message)
{
    decodeFields(reader, message.report.window, message.report.counts);
}

/** Decodes the fields of the alternative with this number, which must be below the variant size. */
template <std::size_t Index = 0>
FleetMessage decodeAlternative(std::size_t number, CborReader &reader)
{
    if constexpr (Index + 1 < std::variant_size_v<FleetMessage>) {
        if (number != Index)
            return decodeAlternative<Index + 1>(number, reader);
    }
    FleetMessage message{std::in_place_index<Index>};
    decode(reader, std::get<Index>(message));
    return message;
}

} // namespace

std::string packPage(const KeyedPage &page)
{
    CborWriter writer;
    encode(writer, page);
    return compressBytes(writer.take());
}

absl::StatusOr<KeyedPage> unpackPage(const std::string &packed)
{
    const absl::StatusOr<std::string> plain = decompressBytes(packed, MaxUnpackedPageBytes);
    if (!plain.ok())
        return plain.status();
    try {
        CborReader reader(*plain);
        KeyedPage page;
        decode(reader, page);
        if (!reader.isAtEnd())
            return absl::InvalidArgumentError("malformed page: bytes follow it");
        return page;
    } catch (const CborError &error) {
        return absl::InvalidArgumentError(joinText("malformed page: ", error.what()));
    }
}

std::string encodeFleetMessage(const FleetMessage &message)
{
    CborWriter writer;
    writer.beginArray(2);
    writer.writeUnsigned(message.index());
    std::visit([&writer](const auto &alternative) { encode(writer, alternative); }, message);
    return writer.take();
}

absl::StatusOr<FleetMessage> decodeFleetMessage(const std::string &frame)
{
    try {
        CborReader reader(frame);
        const std::uint64_t envelopeSize = reader.beginArray();
        if (envelopeSize < 2)
            return absl::InvalidArgumentError("malformed frame: fields are missing");
        const std::uint64_t typeNumber = reader.takeUnsigned();
        if (typeNumber >= std::variant_size_v<FleetMessage>)
            return absl::InvalidArgumentError(joinText("unknown message type ", typeNumber));
        FleetMessage message = decodeAlternative(typeNumber, reader);
        for (std::uint64_t i = 2; i < envelopeSize; ++i)
            reader.skip();
        if (!reader.isAtEnd())
            return absl::InvalidArgumentError("malformed frame: bytes follow it");
        return message;
    } catch (const CborError &error) {
        return absl::InvalidArgumentError(joinText("malformed frame: ", error.what()));
    }
}

} // namespace jacinthshift
