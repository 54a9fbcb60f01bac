#include "node/node_settings.h"

#include "core/text.h"
#include "modules/config/service_spec.h"

namespace jacinthshift {

namespace {

constexpr std::uint32_t MaxBodyBytesLimit = 4 * 1024 * 1024;

void checkName(YamlSection &section, const std::string &key, const std::string &name)
{
    if (!name.empty() && !isValidName(name))
        section.addProblem(key, joinText(key, " must be 1 to 63 of a-z, 0-9, '-' and '.'"));
}

void readAddresses(YamlSection &root, NodeSettings &settings)
{
    YamlSection listen = root.section("listen");
    settings.callers = listen.endpoint("callers");
    settings.links = listen.endpoint("links");
    settings.local = listen.endpoint("local");
    settings.advertisedLinks = listen.endpoint("advertised_links", settings.links);
    const bool hasDuplicate =
            settings.callers.isValid()
            && (settings.callers == settings.links || settings.callers == settings.local
                || settings.links == settings.local);
    if (hasDuplicate)
        listen.addProblem("callers", "callers, links and local need three different addresses");
    listen.reportUnknownKeys();
}

void readSeeds(YamlSection &root, NodeSettings &settings)
{
    for (const std::string &text : root.stringList("seeds")) {
        const absl::StatusOr<Endpoint> seed = parseEndpoint(text);
        if (seed.ok())
            settings.seeds.push_back(*seed);
        else
            root.addProblem("seeds", joinText("seeds: ", std::string(seed.status().message())));
    }
}

} // namespace

NodeSettings readNodeSettings(const std::string &file, Problems &problems)
{
    NodeSettings settings;
    const YAML::Node document = loadYamlFile(file, problems);
    if (!document.IsDefined())
        return settings;
    YamlSection root(document, file, "the settings", problems);
    settings.node = root.text("node");
    checkName(root, "node", settings.node);
    settings.domain = root.text("failure_domain");
    checkName(root, "failure_domain", settings.domain);
    settings.mesh = root.text("mesh", "default");
    readAddresses(root, settings);
    YamlSection platform = root.section("platform");
    settings.log = platform.endpoint("log");
    platform.reportUnknownKeys();
    readSeeds(root, settings);
    settings.maxBodyBytes = root.number("max_body_bytes", settings.maxBodyBytes);
    if (settings.maxBodyBytes > MaxBodyBytesLimit)
        root.addProblem("max_body_bytes",
                        joinText("max_body_bytes must be at most ", MaxBodyBytesLimit));
    settings.readersPerDomain = root.number("readers_per_domain", settings.readersPerDomain);
    if (settings.readersPerDomain == 0)
        root.addProblem("readers_per_domain", "readers_per_domain must be at least 1");
    settings.logLevel =
            static_cast<EventLevel>(root.choice("log_level", {"debug", "info", "warning", "error"},
                                                static_cast<std::size_t>(EventLevel::Info)));
    settings.logFormat = static_cast<LogFormat>(root.choice("log_format", {"text", "json"}, 0));
    root.reportUnknownKeys();
    return settings;
}

} // namespace jacinthshift
