#include "tests/hostile/hostile_case_groups.h"

#include <zlib.h>

#include "core/text.h"
#include "modules/fleet/message_codec.h"

namespace jacinthshift {

namespace {

using std::chrono::seconds;

constexpr std::uint64_t ProcessId = 1;
constexpr char FinalBinaryFrame = '\x82';
constexpr char CompressedBinaryFrame = '\xc2';

/** Returns a frame of a client; its mask is zero, so the payload is not changed by it. */
std::string frame(const std::string &payload, char firstByte = FinalBinaryFrame)
{
    constexpr std::size_t MaxShortLength = 125;
    constexpr std::size_t MaxMediumLength = 0xFFFF;
    std::string bytes{firstByte};
    const auto appendLength = [&bytes, &payload](int firstShift) {
        for (int shift = firstShift; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<char>(payload.size() >> shift & 0xFFU));
    };
    if (payload.size() <= MaxShortLength) {
        bytes.push_back(static_cast<char>(0x80U | payload.size()));
    } else if (payload.size() <= MaxMediumLength) {
        bytes.push_back('\xfe');
        appendLength(8);
    } else {
        bytes.push_back('\xff');
        appendLength(56);
    }
    return bytes + std::string(4, '\0') + payload;
}

std::string messageFrame(const FleetMessage &message)
{
    return frame(encodeFleetMessage(message));
}

NodeContact contact(const std::string &node)
{
    return {.node = node,
            .domain = "zone-9",
            .linkEndpoint = {"127.0.0.1", 1},
            .incarnation = ProcessId,
            .service = "other"};
}

std::string handshake(std::string_view extensions = "")
{
    return joinText("GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
                    "Sec-WebSocket-Protocol: jacinthshift.v1\r\n",
                    extensions, "\r\n");
}

/** Returns what makes the client a peer of the node, under a name of its own. */
std::string openLink()
{
    return handshake()
           + messageFrame(GreetingMessage{.self = contact(joinText("hostile-", CounterText))});
}

/** Returns a permessage-deflate payload that expands to this many bytes. */
std::string deflatedZeros(std::size_t bytes)
{
    constexpr int WindowBits = -12; // Raw deflate.
    constexpr int MemoryLevel = 8;
    z_stream stream{};
    deflateInit2(&stream, Z_BEST_COMPRESSION, Z_DEFLATED, WindowBits, MemoryLevel,
                 Z_DEFAULT_STRATEGY);
    std::string zeros(bytes, '\0');
    std::string output(bytes / 500 + 1'000, '\0');
    stream.next_in = reinterpret_cast<Bytef *>(zeros.data());
    stream.avail_in = static_cast<uInt>(zeros.size());
    stream.next_out = reinterpret_cast<Bytef *>(output.data());
    stream.avail_out = static_cast<uInt>(output.size());
    deflate(&stream, Z_SYNC_FLUSH);
    output.resize(output.size() - stream.avail_out);
    deflateEnd(&stream);
    constexpr std::size_t FlushMarkerBytes = 4; // The extension leaves it out.
    output.resize(output.size() - FlushMarkerBytes);
    return output;
}

HostileCase linkCase(std::string name, std::string opening, std::string repeated)
{
    return {.name = std::move(name),
            .target = HostileTarget::Links,
            .clients = FewHostileClients,
            .opening = std::move(opening),
            .repeated = std::move(repeated),
            .maxBytes = HostileClientBytes,
            .reconnects = 10};
}

std::string contactsFrame()
{
    ContactsMessage message;
    for (int i = 0; i < 1'000; ++i)
        message.contacts.push_back(contact(joinText("c", CounterText, "-", i)));
    return messageFrame(message);
}

std::string callFrame(std::uint64_t number, const std::string &path, std::size_t bodyBytes)
{
    return messageFrame(WorkCallMessage{
            .callerProcess = ProcessId,
            .call = number,
            .work = {.request = {.method = bodyBytes > 0 ? "POST" : "GET",
                                 .target = path,
                                 .headers = {{"Host", "hostile.example"},
                                             {"Request-Id", joinText("h", CounterText)}},
                                 .body = std::string(bodyBytes, 'b')},
                     .route = "hold",
                     .service = "dispatch",
                     .callerService = "other",
                     .idempotent = true,
                     .timeLeft = seconds(9),
                     .targetTimeLeft = seconds(1)}});
}

std::string callFrames(std::size_t count, const std::string &path, std::size_t bodyBytes)
{
    std::string frames;
    for (std::size_t i = 1; i <= count; ++i)
        frames += callFrame(i, path, bodyBytes);
    return frames;
}

} // namespace

void addLinkFrameCases(std::vector<HostileCase> &cases)
{
    constexpr std::size_t LongText = 1024 * 1024;
    NodeContact longContact = contact(joinText("hostile-", CounterText));
    longContact.service = std::string(LongText, 's');
    cases.push_back(linkCase("links_long_names", handshake(),
                             messageFrame(GreetingMessage{.self = longContact})));
    StatusMessage longStatus;
    longStatus.backend.id = std::string(LongText, 'i');
    cases.push_back(linkCase(
            "links_long_states", handshake(),
            messageFrame(GreetingMessage{.self = contact(joinText("hostile-", CounterText))})
                    + messageFrame(longStatus)));
    cases.push_back(linkCase("links_many_contacts", openLink(), contactsFrame()));
    cases.push_back(linkCase(
            "links_expanding_numbers", openLink(),
            messageFrame(ContactsFetchMessage{.known = std::vector<std::uint64_t>(4'000'000, 1)})));
    HostileCase unread = linkCase("links_replies_unread", openLink() + contactsFrame(),
                                  messageFrame(ContactsFetchMessage{}));
    unread.maxBytes = 200'000;
    unread.readBytes = 0;
    unread.holdTime = seconds(3);
    cases.push_back(unread);
    cases.push_back(linkCase("links_rollouts", openLink(),
                             messageFrame(RolloutProgressMessage{
                                     .service = joinText(CounterText, std::string(10'000, 's')),
                                     .targetVersion = "v2"})));
    cases.push_back(linkCase("links_evidence", openLink(),
                             messageFrame(VersionEvidenceMessage{
                                     .node = joinText("hostile-", CounterText),
                                     .incarnation = ProcessId,
                                     .service = joinText(CounterText, std::string(10'000, 's')),
                                     .version = "v2"})));
    constexpr std::size_t ExpandedBytes = 64 * 1024 * 1024;
    HostileCase deflated = linkCase(
            "links_expanding_frames",
            handshake("Sec-WebSocket-Extensions: permessage-deflate; server_max_window_bits=12; "
                      "client_max_window_bits=12\r\n"),
            frame(deflatedZeros(ExpandedBytes), CompressedBinaryFrame));
    deflated.maxBytes = 1024 * 1024;
    cases.push_back(deflated);
    KeyedPage page;
    page.records.push_back(KeyedRecord{.key = "k"});
    page.records.back().value.resize(60'000'000, 'v');
    HostileCase pages = linkCase("links_expanding_pages", openLink(),
                                 messageFrame(TableRecordsMessage{.packedPage = packPage(page)}));
    pages.maxBytes = 1024 * 1024;
    cases.push_back(pages);
    HostileCase responses =
            linkCase("links_long_responses", openLink() + callFrames(10, "/long/h", 0), "");
    responses.readBytes = 0;
    responses.reconnects = 0;
    responses.holdTime = seconds(6);
    cases.push_back(responses);
    HostileCase bodies =
            linkCase("links_held_bodies", openLink() + callFrames(8, "/hold/h", 1'000'000), "");
    bodies.holdTime = seconds(3);
    cases.push_back(bodies);
}

} // namespace jacinthshift
