#ifndef TESTS_HOSTILE_HOSTILE_BENCH_H
#define TESTS_HOSTILE_HOSTILE_BENCH_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "drivers/beast/beast_http_client.h"
#include "drivers/beast/beast_http_server.h"
#include "drivers/glib/glib_timer_service.h"
#include "tests/hostile/hostile_case.h"
#include "tests/hostile/lone_request.h"
#include "tests/hostile/stop_case.h"
#include "tests/soak/soak_store.h"
#include "tests/support/child_process.h"
#include "tests/support/loopback_network.h"

namespace jacinthshift {

/**
 * Two nodes as processes with the limits of a small VM, a backend server behind one of them, and
 * the store. It plays one case against the first node and checks the node's limits.
 */
class HostileBench
{
    struct Node
    {
        std::string name;
        std::string address;
        ChildProcess process;
        std::size_t peakMemory = 0;      ///< Resident bytes.
        std::size_t peakDescriptors = 0; ///< Open descriptors in one sample.
        bool lives = true;
    };

    HostileSetup m_setup;
    LoopbackNetwork m_network;
    std::string m_binaryDirectory;
    std::string m_directory;
    GlibTimerService m_timers;
    BeastHttpClient m_http{BeastHttpClientOptions{}};
    SoakStore m_store;
    BeastHttpServer m_backend;
    std::vector<std::shared_ptr<HttpResponder>> m_unanswered; ///< Requests below /hold/ and /keep/.
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::uint64_t m_heartbeatSequence = 0;
    std::uint64_t m_startedAt = 0;
    Timer m_heartbeatTimer;
    Timer m_sampleTimer;

    Endpoint endpoint(std::size_t node, std::uint16_t port) const;
    void writeSettings(const Node &node) const;
    bool startNode(Node &node) const;
    void publishConfig();
    bool startBackend();
    void serve(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    HttpResponse makeResponse(const HttpRequest &request) const;
    void sendHeartbeat();
    void sampleNodes();
    bool nodesLive() const;
    /** Runs the event loop until the condition holds. Returns false if it does not in time. */
    bool waitFor(std::chrono::milliseconds limit, const std::function<bool()> &condition);
    /** Sends ordinary requests, one at a time, until one is answered. */
    bool isServed(std::size_t node, std::chrono::seconds limit);
    /** Waits until a node that was told to stop has ended. Returns a line if that was late. */
    std::vector<std::string> awaitEnd(Node &node, std::chrono::milliseconds limit);
    /** Returns a line for each limit that a node has exceeded. */
    std::vector<std::string> exceededLimits();

public:
    HostileBench(std::string binaryDirectory, const HostileSetup &setup);

    /** Starts everything. Returns false if ordinary requests are not served. */
    bool start();
    /** Plays a case. Returns a line for each check that failed. */
    std::vector<std::string> play(const HostileCase &hostileCase);
    /** Sends a request that has to be served, some times in a row. Returns the same. */
    std::vector<std::string> sendAlone(const LoneRequestCase &request);
    /** Stops a node while a caller reads slowly. Returns the same. */
    std::vector<std::string> stopDuringResponse(const StopCase &stop);
    /** Returns the figures of the last play. */
    std::string summary() const;
    const std::string &directory() const { return m_directory; }
};

} // namespace jacinthshift

#endif // TESTS_HOSTILE_HOSTILE_BENCH_H
