#include "tests/hostile/hostile_case_groups.h"

#include "core/text.h"
#include "platform/wire_names.h"

namespace jacinthshift {

namespace {

using std::chrono::seconds;

constexpr std::size_t ManyReconnects = 50;

/** Returns the head of a request to the attacked node, without the empty line at its end. */
std::string requestHead(std::string_view method, std::string_view path)
{
    return joinText(method, " ", path, CounterText,
                    " HTTP/1.1\r\nHost: hostile.example\r\nRequest-Id: h", CounterText,
                    "\r\nDeadline-Ms: 9000\r\n");
}

std::string bodyRequest(std::string_view path, std::size_t announced, std::size_t sent)
{
    return requestHead("POST", path) + joinText("Content-Length: ", announced, "\r\n\r\n")
           + std::string(sent, 'b');
}

/** Returns a head within maxHeaderBytes with as many lines as fit. */
std::string manyLinesRequest(std::string_view path)
{
    std::string head = requestHead("GET", path);
    for (int line = 0; line < 3'900; ++line)
        head += "a:\r\n";
    return head + "\r\n";
}

HostileCase longResponses(std::string name, std::size_t backendNode)
{
    return {.name = std::move(name),
            .clients = ManyHostileClients,
            .opening = requestHead("GET", "/long/") + "\r\n",
            .maxBytes = 1'000,
            .readBytes = 0,
            .holdTime = seconds(6),
            .setup = {.backendNode = backendNode}};
}

HostileCase heldBodies(std::string name, std::size_t backendNode)
{
    // Complete bodies of 1 MB; the backend server never responds.
    return {.name = std::move(name),
            .clients = ManyHostileClients,
            .opening = bodyRequest("/hold/", 1'000'000, 1'000'000),
            .maxBytes = 3'000'000,
            .reconnects = 2,
            .holdTime = seconds(3),
            .setup = {.backendNode = backendNode}};
}

HostileCase heldHeaderLines(std::string name, std::size_t backendNode)
{
    return {.name = std::move(name),
            .clients = ManyHostileClients,
            .repeated = manyLinesRequest("/hold/"),
            .maxBytes = 1024 * 1024,
            .reconnects = 1,
            .holdTime = seconds(3),
            .setup = {.backendNode = backendNode}};
}

/** Bodies that stop arriving, with sizes that leave no room of any size between them. */
HostileCase stalledBodies()
{
    HostileCase result{.name = "stalled_bodies_of_many_sizes"};
    result.holdTime = seconds(8);
    for (const std::size_t size : {1'000'000UL, 100'000UL, 10'000UL, 1'000UL, 300UL}) {
        result.beside.push_back({.clients = 30,
                                 .opening = bodyRequest("/book/", size, 1),
                                 .maxBytes = 100'000,
                                 .reconnects = 10});
    }
    return result;
}

} // namespace

void addExchangeCases(std::vector<HostileCase> &cases)
{
    // Some hundreds of connections, as a VM with 4,100 descriptors accepts them.
    HostileCase atOnce = longResponses("long_responses_at_once", 0);
    atOnce.clients = 400;
    atOnce.setup.maxFiles = 4'100;
    cases.push_back(std::move(atOnce));
    cases.push_back(longResponses("remote_long_responses_at_once", 1));
    cases.push_back({.name = "long_responses_read",
                     .clients = ManyHostileClients,
                     .repeated = requestHead("GET", "/long/") + "\r\n",
                     .maxBytes = 400});
    cases.push_back({.name = "pipelined_long_responses",
                     .clients = FewHostileClients,
                     .repeated = requestHead("GET", "/long/") + "\r\n",
                     .maxBytes = 4'000,
                     .readBytes = 0,
                     .holdTime = seconds(6)});
    cases.push_back(heldBodies("held_bodies", 0));
    cases.push_back(heldBodies("remote_held_bodies", 1));
    cases.push_back(heldHeaderLines("held_header_lines", 0));
    cases.push_back(heldHeaderLines("remote_held_header_lines", 1));
    cases.push_back(stalledBodies());
    cases.push_back({.name = "large_bodies_unfinished",
                     .clients = FewHostileClients,
                     .opening = bodyRequest("/book/", 60'000'000, 0),
                     .repeated = std::string(1024, 'b'),
                     .maxBytes = HostileClientBytes,
                     .reconnects = 20,
                     .setup = {.maxBodyBytes = 64 * 1024 * 1024}});
    cases.push_back({.name = "resets_after_requests",
                     .clients = ManyHostileClients,
                     .opening = bodyRequest("/hold/", 100'000, 100'000),
                     .maxBytes = HostileClientBytes,
                     .reconnects = ManyReconnects,
                     .resets = true});
    // A document of 500,000 nested arrays in a heartbeat.
    cases.push_back({.name = "control_nested_documents",
                     .target = HostileTarget::Control,
                     .clients = FewHostileClients,
                     .opening = joinText("PUT ", wire::InstancesPath,
                                         "h HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n",
                                         std::string(1'000'000, '[')),
                     .maxBytes = 10'000'000,
                     .reconnects = 5});
    cases.push_back({.name = "control_long_deregistrations",
                     .target = HostileTarget::Control,
                     .clients = FewHostileClients,
                     .repeated = joinText("DELETE ", wire::InstancesPath, CounterText,
                                          std::string(20'000, 'i'),
                                          " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"),
                     .maxBytes = HostileClientBytes,
                     .reconnects = 5});
}

void addConnectionCases(std::vector<HostileCase> &cases)
{
    const HostileSetup manyFiles{.maxFiles = 4'100};
    // Each head takes little on the wire; its lines are held until the body is complete.
    std::string unfinished = manyLinesRequest("/book/");
    unfinished.resize(unfinished.size() - 2);
    cases.push_back({.name = "many_connections_header_lines",
                     .clients = ThousandsOfHostileClients,
                     .opening = unfinished + "Content-Length: 100\r\n\r\n",
                     .maxBytes = 40'000,
                     .reconnects = 1,
                     .holdTime = seconds(3),
                     .setup = manyFiles});
    cases.push_back({.name = "many_connections_tiny_requests",
                     .clients = ThousandsOfHostileClients,
                     .repeated = requestHead("GET", "/hold/") + "\r\n",
                     .maxBytes = 8'000,
                     .holdTime = seconds(3),
                     .setup = manyFiles});
    cases.push_back({.name = "many_connections_silent",
                     .clients = ThousandsOfHostileClients,
                     .reconnects = 1,
                     .holdTime = seconds(2),
                     .setup = manyFiles});
}

} // namespace jacinthshift
