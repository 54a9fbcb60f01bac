#include "tests/hostile/hostile_case.h"

#include <cstdint>

#include "core/text.h"
#include "platform/wire_names.h"
#include "tests/hostile/hostile_case_groups.h"

namespace jacinthshift {

namespace {

// The crowds are fixed by the limits that the bench sets: a VM of 160 MB and 400 descriptors. A
// crowd that sends or requests data offers at least twice the memory, and one that only connects
// opens one and a half times the descriptors.
constexpr std::size_t FewClients = 40;
constexpr std::size_t ManyClients = 150;
constexpr std::size_t TooManyClients = 600;
constexpr std::size_t MaxBytes = 8 * 1024 * 1024; ///< Of each of FewClients: 320 MB in all.

constexpr const char *ChunkedHead = "POST /book/h HTTP/1.1\r\nHost: hostile.example\r\nRequest-Id: "
                                    "h\r\nDeadline-Ms: 9000\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string controlRequestLine =
        joinText("PUT ", wire::InstancesPath, "h HTTP/1.1\r\nHost: h\r\n");
constexpr const char *LinkHandshake =
        "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
        "Sec-WebSocket-Protocol: jacinthshift.v1\r\n\r\n";

std::string repeat(const std::string &text, std::size_t times)
{
    std::string result;
    for (std::size_t i = 0; i < times; ++i)
        result += text;
    return result;
}

/** Returns the head of a masked frame in the shortest form; its mask is zero. */
std::string frameHead(char firstByte, std::uint64_t length)
{
    const bool isLong = length > 0xFFFFU;
    std::string head{firstByte, isLong ? '\xff' : '\xfe'};
    for (int shift = isLong ? 56 : 8; shift >= 0; shift -= 8)
        head.push_back(static_cast<char>(length >> shift & 0xFFU));
    return head + std::string(4, '\0');
}

/** Adds the cases that are alike on both addresses that speak HTTP. */
void addHttpCases(std::vector<HostileCase> &cases, const std::string &prefix, HostileTarget target)
{
    const bool callers = target == HostileTarget::Callers;
    const std::string chunkedHead =
            callers ? ChunkedHead : controlRequestLine + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string requestLine =
            callers ? "POST /book/h HTTP/1.1\r\nHost: hostile.example\r\nRequest-Id: "
                      "h\r\nDeadline-Ms: 9000\r\n"
                    : controlRequestLine;
    cases.push_back({.name = prefix + "endless_trailers",
                     .target = target,
                     .clients = FewClients,
                     .opening = chunkedHead + "1\r\nx\r\n0\r\n",
                     .repeated = "Trailer-Name: " + std::string(1000, 't') + "\r\n",
                     .maxBytes = MaxBytes});
    cases.push_back({.name = prefix + "endless_chunk_extensions",
                     .target = target,
                     .clients = FewClients,
                     .opening = chunkedHead + "1;name=",
                     .repeated = std::string(1024, 'e'),
                     .maxBytes = MaxBytes});
    cases.push_back({.name = prefix + "heads_over_limit",
                     .target = target,
                     .clients = FewClients,
                     .opening = requestLine + "Large: " + std::string(65'536, 'h') + "\r\n\r\n",
                     .repeated = std::string(1024, 'h'),
                     .maxBytes = MaxBytes,
                     .reconnects = 10});
    cases.push_back({.name = prefix + "endless_heads",
                     .target = target,
                     .clients = FewClients,
                     .opening = requestLine,
                     .repeated = "Name: " + std::string(1000, 'h') + "\r\n",
                     .maxBytes = MaxBytes,
                     .reconnects = 10});
    cases.push_back({.name = prefix + "endless_empty_lines",
                     .target = target,
                     .clients = FewClients,
                     .repeated = repeat("\r\n", 512),
                     .maxBytes = MaxBytes,
                     .reconnects = 10});
    // Announces 150 MB in all, which arrives at 200 bytes a second per client and then stops.
    cases.push_back({.name = prefix + "dripping_bodies",
                     .target = target,
                     .clients = ManyClients,
                     .opening = requestLine + "Content-Length: 1000000\r\n\r\n",
                     .repeated = "b",
                     .maxBytes = 4'000,
                     .writeBytes = 1,
                     .reconnects = 3,
                     .holdTime = std::chrono::seconds(10)});
    cases.push_back({.name = prefix + "silent_connections",
                     .target = target,
                     .clients = TooManyClients,
                     .reconnects = 3,
                     .holdTime = std::chrono::seconds(10)});
    // About 4,000 lines within maxHeaderBytes; the body is never sent, so they stay in memory.
    cases.push_back(
            {.name = prefix + "many_header_lines",
             .target = target,
             .clients = ManyClients,
             .opening = requestLine + repeat("a:\r\n", 4'000) + "Content-Length: 100\r\n\r\n",
             .maxBytes = 200'000,
             .reconnects = 10,
             .holdTime = std::chrono::seconds(5)});
}

} // namespace

std::vector<HostileCase> hostileCases()
{
    std::vector<HostileCase> cases;
    addHttpCases(cases, "", HostileTarget::Callers);
    addHttpCases(cases, "control_", HostileTarget::Control);
    // Responses of 6 MB each: 360 MB in all. They are requested one by one, because the node limits
    // what it receives from its backend server at one time.
    cases.push_back({.name = "long_responses_unread",
                     .clients = 60,
                     .opening = "GET /long/h HTTP/1.1\r\nHost: hostile.example\r\nRequest-Id: "
                                "h\r\nDeadline-Ms: 9000\r\n\r\n",
                     .maxBytes = 1000,
                     .readBytes = 0,
                     .startSteps = 20,
                     .holdTime = std::chrono::seconds(15)});
    cases.push_back({.name = "long_responses_read_slowly",
                     .clients = 60,
                     .opening = "GET /long/h HTTP/1.1\r\nHost: hostile.example\r\nRequest-Id: "
                                "h\r\nDeadline-Ms: 9000\r\n\r\n",
                     .maxBytes = 1000,
                     .readBytes = 16,
                     .startSteps = 20,
                     .holdTime = std::chrono::seconds(15)});
    cases.push_back({.name = "pipelined_responses_unread",
                     .clients = ManyClients,
                     .repeated = "GET /page/h HTTP/1.1\r\nHost: hostile.example\r\nRequest-Id: "
                                 "h\r\nDeadline-Ms: 9000\r\n\r\n",
                     .maxBytes = 1024 * 1024,
                     .readBytes = 0,
                     .reconnects = 3,
                     .startSteps = 4,
                     .holdTime = std::chrono::seconds(5)});
    cases.push_back({.name = "links_no_frames",
                     .target = HostileTarget::Links,
                     .clients = FewClients,
                     .opening = LinkHandshake,
                     .repeated = repeat("no frame", 128),
                     .maxBytes = MaxBytes,
                     .reconnects = 10});
    cases.push_back({.name = "links_no_handshake",
                     .target = HostileTarget::Links,
                     .clients = FewClients,
                     .repeated = std::string(1024, 'x'),
                     .maxBytes = MaxBytes,
                     .reconnects = 10});
    cases.push_back({.name = "links_endless_handshakes",
                     .target = HostileTarget::Links,
                     .clients = FewClients,
                     .opening = "GET / HTTP/1.1\r\n",
                     .repeated = "Name: " + std::string(1000, 'h') + "\r\n",
                     .maxBytes = MaxBytes,
                     .reconnects = 10});
    cases.push_back({.name = "links_huge_frames_announced",
                     .target = HostileTarget::Links,
                     .clients = FewClients,
                     .opening = LinkHandshake + frameHead('\x82', 1ULL << 62U),
                     .repeated = std::string(1024, 'f'),
                     .maxBytes = MaxBytes,
                     .reconnects = 10});
    // Within the limit of a frame; the last byte is never sent.
    cases.push_back({.name = "links_large_frames_unfinished",
                     .target = HostileTarget::Links,
                     .clients = FewClients,
                     .opening = LinkHandshake + frameHead('\x82', MaxBytes),
                     .repeated = std::string(1024, 'f'),
                     .maxBytes = MaxBytes});
    cases.push_back({.name = "links_endless_fragments",
                     .target = HostileTarget::Links,
                     .clients = FewClients,
                     .opening = LinkHandshake + frameHead('\x02', 1024) + std::string(1024, 'f'),
                     .repeated = frameHead('\x00', 1024) + std::string(1024, 'f'),
                     .maxBytes = MaxBytes});
    cases.push_back({.name = "links_handshake_unfinished",
                     .target = HostileTarget::Links,
                     .clients = TooManyClients,
                     .opening = "GET / HTTP/1.1\r\nHost: h\r\n",
                     .maxBytes = 100,
                     .reconnects = 3,
                     .holdTime = std::chrono::seconds(10)});
    cases.push_back({.name = "links_silent_connections",
                     .target = HostileTarget::Links,
                     .clients = TooManyClients,
                     .reconnects = 3,
                     .holdTime = std::chrono::seconds(10)});
    addExchangeCases(cases);
    addConnectionCases(cases);
    addLinkFrameCases(cases);
    addMixedCases(cases);
    return cases;
}

} // namespace jacinthshift
