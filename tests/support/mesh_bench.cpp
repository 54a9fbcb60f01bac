#include "tests/support/mesh_bench.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <unistd.h>

#include <glib.h>

#include "core/text.h"

namespace jacinthshift {

MeshBench::MeshBench(std::string binaryDirectory, const std::vector<VmPlan> &plans,
                     std::string extraSettings)
    : m_binaryDirectory(std::move(binaryDirectory)), m_extraSettings(std::move(extraSettings))
{
    m_directory =
            joinText(std::filesystem::temp_directory_path().string(), "/jacinthshift-", getpid());
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
    m_domainPrefixes["platform"] = m_network.prefix() + ".250.";
    std::map<std::string, int> domainSizes;
    std::vector<std::string> seeds;
    for (const VmPlan &plan : plans) {
        if (!m_domainPrefixes.contains(plan.domain))
            m_domainPrefixes[plan.domain] =
                    joinText(m_network.prefix(), ".", m_domainPrefixes.size(), ".");
        std::unique_ptr<Vm> vm = std::make_unique<Vm>();
        vm->plan = plan;
        vm->address = joinText(m_domainPrefixes[plan.domain], ++domainSizes[plan.domain]);
        vm->settingsFile = m_directory + "/" + plan.name + ".yaml";
        if (domainSizes[plan.domain] <= 2)
            seeds.push_back(vm->advertisedLinkEndpoint().text());
        m_vms[plan.name] = std::move(vm);
    }
    for (auto &[name, vm] : m_vms)
        writeSettings(*vm, seeds);
}

MeshBench::~MeshBench()
{
    for (auto &[name, vm] : m_vms) {
        vm->node.signal(SIGCONT);
        vm->backend.signal(SIGCONT);
    }
    if (m_discardFiles)
        std::filesystem::remove_all(m_directory);
}

void MeshBench::writeSettings(Vm &vm, const std::vector<std::string> &seeds) const
{
    std::ofstream file(vm.settingsFile);
    file << "node: " << vm.plan.name << "\nfailure_domain: " << vm.plan.domain
         << "\nmesh: bench\nlisten:\n  callers: " << vm.callerEndpoint().text()
         << "\n  links: " << vm.linkEndpoint().text() << "\n  local: " << vm.localEndpoint().text()
         << "\n  advertised_links: " << vm.advertisedLinkEndpoint().text()
         << "\nplatform:\n  log: " << Endpoint{m_network.prefix() + ".250.1", 6001}.text()
         << "\nseeds: [";
    for (std::size_t i = 0; i < seeds.size(); ++i)
        file << (i == 0 ? "" : ", ") << seeds[i];
    file << "]\n" << m_extraSettings;
}

std::vector<std::string> MeshBench::vmNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, vm] : m_vms)
        names.push_back(name);
    return names;
}

std::string MeshBench::addressPrefix(const std::string &domain) const
{
    return m_domainPrefixes.at(domain);
}

std::string MeshBench::relayRoutes() const
{
    std::string routes = joinText(Endpoint{m_network.prefix() + ".250.1", 6001}.text(), "=",
                                  logEndpoint().text());
    for (const auto &[name, vm] : m_vms)
        routes +=
                joinText(",", vm->advertisedLinkEndpoint().text(), "=", vm->linkEndpoint().text());
    return routes;
}

bool MeshBench::startPlatform()
{
    const bool started = m_logService.start({m_binaryDirectory + "/standin_log_service",
                                             "--listen=" + logEndpoint().text()},
                                            m_directory + "/log_service.out")
                         && m_networkRelay.start({m_binaryDirectory + "/standin_network_relay",
                                                  "--control=" + relayControlEndpoint().text(),
                                                  "--routes=" + relayRoutes()},
                                                 m_directory + "/network_relay.out");
    pause(std::chrono::milliseconds(200));
    return started && m_logService.isRunning() && m_networkRelay.isRunning();
}

bool MeshBench::startNode(Vm &vm)
{
    return vm.node.start(
            {m_binaryDirectory + "/jacinthshift", "node", "--settings=" + vm.settingsFile},
            m_directory + "/" + vm.plan.name + ".log");
}

bool MeshBench::startBackend(Vm &vm)
{
    if (vm.plan.backendFlags.empty())
        return true;
    std::vector<std::string> command = {
            m_binaryDirectory + "/standin_backend_server",
            "--listen=" + vm.backendEndpoint().text(), "--announce=" + vm.localEndpoint().text(),
            "--callers=" + vm.callerEndpoint().text(),
            "--journal=" + m_directory + "/" + vm.plan.name + ".journal"};
    command.insert(command.end(), vm.plan.backendFlags.begin(), vm.plan.backendFlags.end());
    return vm.backend.start(command, m_directory + "/" + vm.plan.name + ".backend.out");
}

std::vector<std::string> MeshBench::programCommand(std::vector<std::string> arguments) const
{
    arguments.insert(arguments.begin(), m_binaryDirectory + "/jacinthshift");
    return arguments;
}

int MeshBench::runCommand(std::vector<std::string> arguments, std::string &output)
{
    const std::string file = m_directory + "/command.out";
    std::filesystem::remove(file);
    ChildProcess process;
    if (!process.start(programCommand(std::move(arguments)), file))
        return -1;
    while (!process.hasEnded())
        pause(std::chrono::milliseconds(10));
    output.clear();
    for (const std::string &line : lines("command.out"))
        output += line + "\n";
    return process.exitCode();
}

HttpResult MeshBench::exchange(const Endpoint &server, const HttpRequest &request,
                               std::chrono::milliseconds timeout)
{
    std::optional<HttpResult> result;
    m_http.send(HttpSendOptions{.server = server, .timeout = timeout}, request,
                [&result](HttpResult answer) { result = std::move(answer); });
    while (!result.has_value())
        g_main_context_iteration(nullptr, TRUE);
    return *std::move(result);
}

void MeshBench::pause(std::chrono::milliseconds time)
{
    bool elapsed = false;
    const Timer timer(m_timers, m_timers.startOnce(time, [&elapsed] { elapsed = true; }));
    while (!elapsed)
        g_main_context_iteration(nullptr, TRUE);
}

std::vector<std::string> MeshBench::lines(const std::string &file) const
{
    std::ifstream stream(m_directory + "/" + file);
    std::vector<std::string> result;
    std::string line;
    while (std::getline(stream, line))
        result.push_back(line);
    return result;
}

} // namespace jacinthshift
