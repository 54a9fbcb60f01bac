#include "tests/hostile/hostile_case_groups.h"

#include <algorithm>
#include <utility>

namespace jacinthshift {

namespace {

/** Returns a case of those given, with a part of its clients. */
HostileCase part(const std::vector<HostileCase> &cases, std::string_view name, HostileTarget target,
                 std::size_t divisor)
{
    const auto found = std::find_if(cases.begin(), cases.end(),
                                    [name](const auto &entry) { return entry.name == name; });
    HostileCase result = *found;
    result.target = target;
    result.clients = std::max<std::size_t>(result.clients / divisor, 1);
    return result;
}

/** Returns crowds of all kinds that can be sent to an address that speaks HTTP. */
std::vector<HostileCase> httpCrowds(const std::vector<HostileCase> &cases, HostileTarget target,
                                    std::size_t divisor)
{
    std::vector<HostileCase> crowds;
    for (const char *name :
         {"endless_trailers", "endless_chunk_extensions", "heads_over_limit", "endless_heads",
          "endless_empty_lines", "dripping_bodies", "silent_connections", "many_header_lines"})
        crowds.push_back(part(cases, name, target, divisor));
    return crowds;
}

std::vector<HostileCase> callerCrowds(const std::vector<HostileCase> &cases, std::size_t divisor)
{
    std::vector<HostileCase> crowds = httpCrowds(cases, HostileTarget::Callers, divisor);
    for (const char *name :
         {"long_responses_at_once", "long_responses_read_slowly", "pipelined_responses_unread",
          "held_bodies", "held_header_lines", "resets_after_requests"})
        crowds.push_back(part(cases, name, HostileTarget::Callers, divisor));
    return crowds;
}

std::vector<HostileCase> linkCrowds(const std::vector<HostileCase> &cases, std::size_t divisor)
{
    std::vector<HostileCase> crowds;
    for (const char *name : {"links_no_frames", "links_endless_handshakes",
                             "links_large_frames_unfinished", "links_silent_connections",
                             "links_replies_unread", "links_long_responses", "links_long_names"})
        crowds.push_back(part(cases, name, HostileTarget::Links, divisor));
    return crowds;
}

HostileCase mixed(std::string name, HostileTarget target, std::vector<HostileCase> crowds)
{
    return {.name = std::move(name),
            .target = target,
            .holdTime = std::chrono::seconds(3),
            .beside = std::move(crowds)};
}

} // namespace

void addMixedCases(std::vector<HostileCase> &cases)
{
    constexpr std::size_t Part = 5;
    constexpr std::size_t SmallPart = 10;
    std::vector<HostileCase> everywhere = callerCrowds(cases, SmallPart);
    for (const HostileTarget target :
         {HostileTarget::Control, HostileTarget::Readiness, HostileTarget::Metrics}) {
        for (HostileCase &crowd : httpCrowds(cases, target, SmallPart))
            everywhere.push_back(std::move(crowd));
    }
    for (HostileCase &crowd : linkCrowds(cases, SmallPart))
        everywhere.push_back(std::move(crowd));
    cases.push_back(mixed("mixed_callers", HostileTarget::Callers, callerCrowds(cases, Part)));
    HostileCase remote =
            mixed("mixed_remote_callers", HostileTarget::Callers, callerCrowds(cases, Part));
    remote.setup.backendNode = 1;
    cases.push_back(std::move(remote));
    cases.push_back(mixed("mixed_links", HostileTarget::Links, linkCrowds(cases, Part)));
    cases.push_back(mixed("readiness_mixed", HostileTarget::Readiness,
                          httpCrowds(cases, HostileTarget::Readiness, Part)));
    cases.push_back(mixed("metrics_mixed", HostileTarget::Metrics,
                          httpCrowds(cases, HostileTarget::Metrics, Part)));
    cases.push_back(mixed("mixed_addresses", HostileTarget::Callers, std::move(everywhere)));
}

} // namespace jacinthshift
