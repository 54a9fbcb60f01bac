#ifndef TESTS_SUPPORT_MESH_BENCH_H
#define TESTS_SUPPORT_MESH_BENCH_H

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "drivers/beast/beast_http_client.h"
#include "drivers/glib/glib_timer_service.h"
#include "tests/support/child_process.h"
#include "tests/support/loopback_network.h"

namespace jacinthshift {

/** The configuration of one VM of the bench. */
struct VmPlan
{
    std::string name;
    std::string domain;
    std::vector<std::string> backendFlags; ///< Empty for a VM without a backend server.
};

/** A VM of the bench: a node and a backend server that share an IP address of their own. */
struct Vm
{
    VmPlan plan;
    std::string address;
    std::string settingsFile;
    ChildProcess node;
    ChildProcess backend;

    Endpoint callerEndpoint() const { return {address, 8080}; }
    Endpoint linkEndpoint() const { return {address, 7000}; }
    Endpoint advertisedLinkEndpoint() const { return {address, 7900}; }
    Endpoint localEndpoint() const { return {address, 9900}; }
    Endpoint backendEndpoint() const { return {address, 9000}; }
};

/**
 * A small mesh of real processes on loopback addresses, with stand-ins for the platform's log, the
 * backend servers and the network between VMs.
 */
class MeshBench
{
    std::string m_directory;
    std::string m_binaryDirectory;
    LoopbackNetwork m_network;
    std::map<std::string, std::unique_ptr<Vm>> m_vms;
    std::map<std::string, std::string> m_domainPrefixes;
    std::string m_extraSettings;
    bool m_discardFiles = false;
    ChildProcess m_logService;
    ChildProcess m_networkRelay;
    GlibTimerService m_timers;
    BeastHttpClient m_http{BeastHttpClientOptions{}};

    void writeSettings(Vm &vm, const std::vector<std::string> &seeds) const;
    std::string relayRoutes() const;

public:
    /**
     * Creates the bench's directory with the settings of all nodes; starts nothing. binaryDirectory
     * has the built programs; extraSettings is YAML that is appended to the settings of each node.
     */
    MeshBench(std::string binaryDirectory, const std::vector<VmPlan> &plans,
              std::string extraSettings = {});
    ~MeshBench();

    TimerService &timers() { return m_timers; }
    HttpClient &http() { return m_http; }
    const std::string &directory() const { return m_directory; }
    Vm &vm(const std::string &name) { return *m_vms.at(name); }
    std::vector<std::string> vmNames() const;
    bool hasVm(const std::string &name) const { return m_vms.contains(name); }
    /** Returns the common prefix of the addresses of a failure domain, or of "platform". */
    std::string addressPrefix(const std::string &domain) const;
    Endpoint logEndpoint() const { return {m_network.prefix() + ".250.1", 6000}; }
    Endpoint relayControlEndpoint() const { return {m_network.prefix() + ".251.1", 6100}; }

    /** Removes the bench's files on destruction; by default they are kept for inspection. */
    void discardFiles() { m_discardFiles = true; }
    /** Starts the stand-ins for the log and the network. Returns false if one does not run. */
    bool startPlatform();
    bool startNode(Vm &vm);
    /** Starts the backend server of a VM; does nothing if the VM has none. */
    bool startBackend(Vm &vm);
    /** Returns the command line that runs the program with these arguments. */
    std::vector<std::string> programCommand(std::vector<std::string> arguments) const;
    /** Runs the program and reads its output. Returns the exit code, or -1 if it did not start. */
    int runCommand(std::vector<std::string> arguments, std::string &output);

    /** Sends an HTTP request and waits for its result. */
    HttpResult exchange(const Endpoint &server, const HttpRequest &request,
                        std::chrono::milliseconds timeout);
    /** Runs the event loop for the given time. */
    void pause(std::chrono::milliseconds time);
    /** Returns the lines of a file in the bench's directory. */
    std::vector<std::string> lines(const std::string &file) const;
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_MESH_BENCH_H
