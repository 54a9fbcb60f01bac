#include "node/mesh_settings.h"

#include <algorithm>

#include "core/text.h"
#include "platform/wire_names.h"

namespace jacinthshift {

namespace {

void readUsage(YamlSection &root, UsageSettings &settings)
{
    YamlSection usage = root.optionalSection("usage");
    const Endpoint platform = usage.endpoint("platform", Endpoint());
    const std::vector<std::string> duties = usage.stringList("duties");
    if (std::find(duties.begin(), duties.end(), wire::UsageDuty) != duties.end())
        settings.platform = platform;
    settings.window = usage.seconds("window_seconds", settings.window);
    settings.late = usage.seconds("late_seconds", settings.late);
    settings.lease = usage.seconds("lease_seconds", settings.lease);
    if (settings.window < std::chrono::seconds(1))
        usage.addProblem("window_seconds", "window_seconds must be at least 1");
    usage.reportUnknownKeys();
}

} // namespace

MeshSettings readMeshSettings(const std::string &file, Problems &problems)
{
    MeshSettings settings;
    const YAML::Node document = loadYamlFile(file, problems);
    if (!document.IsDefined())
        return settings;
    YamlSection root(document, file, "the settings", problems);
    settings.node = root.text("node");
    settings.domain = root.text("failure_domain");
    settings.service = root.text("service");
    YamlSection listen = root.section("listen");
    settings.callers = listen.endpoint("callers");
    settings.readiness = listen.endpoint("readiness");
    settings.control = listen.endpoint("control");
    settings.links = listen.endpoint("links");
    settings.advertisedLinks = listen.endpoint("advertised_links", settings.links);
    settings.metrics = listen.endpoint("metrics");
    listen.reportUnknownKeys();
    YamlSection platform = root.section("platform");
    settings.store = platform.endpoint("store");
    platform.reportUnknownKeys();
    for (const std::string &text : root.stringList("seeds")) {
        const absl::StatusOr<Endpoint> seed = parseEndpoint(text);
        if (!seed.ok()) {
            root.addProblem("seeds", joinText("seeds: ", std::string(seed.status().message())));
            continue;
        }
        // A seed is given by another listener's address; the link port is the same on all nodes.
        settings.seeds.push_back(
                Endpoint{.address = seed->address, .port = settings.advertisedLinks.port});
    }
    YamlSection limits = root.section("limits");
    settings.grace = limits.seconds("grace_seconds", settings.grace);
    settings.retryRatio = limits.nonNegativeNumber("retry_ratio", settings.retryRatio);
    settings.retrySlack = limits.nonNegativeNumber("retry_slack", settings.retrySlack);
    settings.retryWindow = limits.seconds("retry_window_seconds", settings.retryWindow);
    settings.canaryShare = limits.nonNegativeNumber("canary_share", settings.canaryShare);
    settings.coldFactor = limits.nonNegativeNumber("cold_factor", settings.coldFactor);
    settings.revokeTime = limits.seconds("revoke_seconds", settings.revokeTime);
    settings.strictRevoke = limits.flag("strict_revoke", settings.strictRevoke);
    settings.heldMegabytes = limits.number("held_megabytes", settings.heldMegabytes);
    settings.maxFiles = limits.number("max_files", settings.maxFiles);
    settings.processorShare = limits.nonNegativeNumber("processor_share", settings.processorShare);
    settings.linkMegabits = limits.nonNegativeNumber("link_megabits", settings.linkMegabits);
    limits.reportUnknownKeys();
    readUsage(root, settings.usage);
    settings.logLevel =
            static_cast<EventLevel>(root.choice("log_level", {"debug", "info", "warning", "error"},
                                                static_cast<std::size_t>(EventLevel::Info)));
    root.reportUnknownKeys();
    return settings;
}

} // namespace jacinthshift
