// A stand-in for a backend server, with limited concurrency, cold start, load shedding, drain,
// crashes and injected failures.
//
// It announces itself to its node, takes a configurable time for each request and writes a journal
// that survives a crash:
//   run ID           a request starts
//   over N LIMIT     a request starts and makes N run, which is more than the limit
//   beyond N LIMIT   the same, when the overload has lasted longer than a response time
//   done ID          a request ends
//
// POST /control takes {"work_ms": N, "fail_percent": N, "fail_path": PREFIX, "hang": bool,
// "cold": true} and changes its behaviour; POST /drain announces that it leaves. A request whose
// target contains "crash" ends the process.
#include <csignal>
#include <cstdio>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unistd.h>

#include <gflags/gflags.h>
#include <glib.h>
#include <nlohmann/json.hpp>

#include "core/duration.h"
#include "core/text.h"
#include "drivers/beast/beast_http_client.h"
#include "drivers/glib/glib_timer_service.h"
#include "drivers/soup/soup_http_server.h"

DEFINE_string(listen, "", "IP:PORT to listen on");
DEFINE_string(announce, "", "IP:PORT of the node's local interface");
DEFINE_string(callers, "", "IP:PORT of the node's interface for callers");
DEFINE_string(service, "service", "name of its service");
DEFINE_string(label, "v1", "its version label");
DEFINE_string(calls, "", "SERVICE/PATH that it calls for each request");
DEFINE_string(journal, "", "journal file; empty for none");
DEFINE_uint32(slots, 10, "how many requests it can run at once when warm");
DEFINE_uint32(cold_slots, 2, "how many requests it can run at once when cold");
DEFINE_uint32(cold_ms, 0, "how long it stays cold after its first request, in ms");
DEFINE_uint32(work_ms, 5, "how long a request takes without overload, in ms");
DEFINE_uint32(fail_percent, 0, "percentage of requests that fail");

namespace jacinthshift {

namespace {

using nlohmann::json;
using ResponderPointer = std::shared_ptr<HttpResponder>;

constexpr std::chrono::milliseconds AnnouncePeriod{500};
/** The process crashes after CrashDelay with more than this multiple of its limit running. */
constexpr std::uint32_t CrashLoadFactor = 4;
constexpr std::chrono::milliseconds CrashDelay{300};

class BackendServer
{
    GlibTimerService m_timers;
    SoupHttpServer m_server{HttpServerOptions{.maxBodyBytes = 4 * 1024 * 1024}};
    BeastHttpClient m_http{BeastHttpClientOptions{}};
    Timer m_announceTimer;
    std::set<std::shared_ptr<Timer>> m_workTimers;
    std::FILE *m_journal = nullptr;
    std::mt19937 m_random{std::random_device{}()};
    std::uint32_t m_running = 0;
    std::uint64_t m_served = 0;
    std::uint32_t m_workMs = FLAGS_work_ms;
    std::uint32_t m_failPercent = FLAGS_fail_percent;
    std::string m_failPath;
    bool m_hang = false;
    bool m_leaving = false;
    bool m_warmUpStarted = false;
    bool m_overloaded = false;
    SteadyTime m_firstOverloadAnswerAt; ///< Expected for the first request over the limit.
    SteadyTime m_warmAt;
    SteadyTime m_lastBelowCrashLoadAt = m_timers.now();

    void writeJournal(const std::string &line)
    {
        if (m_journal == nullptr)
            return;
        std::fprintf(m_journal, "%s\n", line.c_str());
        std::fflush(m_journal);
    }

    /** Returns how many requests it can run at once without slowing down. */
    std::uint32_t concurrencyLimit() const
    {
        const bool cold = FLAGS_cold_ms > 0 && (!m_warmUpStarted || m_timers.now() < m_warmAt);
        return cold ? FLAGS_cold_slots : FLAGS_slots;
    }

    void announce()
    {
        const absl::StatusOr<Endpoint> node = parseEndpoint(FLAGS_announce);
        if (!node.ok())
            return;
        HttpRequest request{.method = "POST", .target = "/announce"};
        request.body = json{{"service", FLAGS_service},
                            {"version", FLAGS_label},
                            {"instance", std::to_string(getpid())},
                            {"address", FLAGS_listen},
                            {"slots", FLAGS_slots},
                            {"state", m_leaving ? "leaving" : "ready"}}
                               .dump();
        m_http.send(HttpSendOptions{.server = *node, .timeout = AnnouncePeriod}, request,
                    [](const HttpResult &) {});
    }

    void handleControl(const HttpRequest &request, const ResponderPointer &responder)
    {
        const json parameters = json::parse(request.body.string(), nullptr, false);
        m_workMs = parameters.value("work_ms", m_workMs);
        m_failPercent = parameters.value("fail_percent", m_failPercent);
        m_failPath = parameters.value("fail_path", m_failPath);
        m_hang = parameters.value("hang", m_hang);
        if (parameters.value("cold", false))
            m_warmUpStarted = false;
        responder->respond(HttpResponse{});
    }

    void handleDrain(const ResponderPointer &responder)
    {
        m_leaving = true;
        announce();
        responder->respond(HttpResponse{});
    }

    void serve(const HttpRequest &request, const ResponderPointer &responder)
    {
        const std::string id(findHeader(request.headers, "Request-Id"));
        if (m_running >= FLAGS_slots * 2) {
            responder->respond(HttpResponse{.status = 503,
                                            .headers = {{.name = "Retry-After", .value = "1"}}});
            return;
        }
        writeJournal("run " + id);
        ++m_running;
        ++m_served;
        if (!m_warmUpStarted) {
            m_warmUpStarted = true;
            m_warmAt = m_timers.now() + std::chrono::milliseconds(FLAGS_cold_ms);
        }
        journalOverload();
        if (request.target.find("crash") != std::string::npos)
            std::_Exit(3);
        crashIfOverloaded();
        if (m_hang)
            return;
        // Above the limit, the service time grows in proportion to the load.
        const std::chrono::milliseconds serviceTime(
                std::max(m_workMs, m_workMs * m_running / std::max(1U, concurrencyLimit())));
        const auto timer = std::make_shared<Timer>();
        m_workTimers.insert(timer);
        *timer = Timer(m_timers,
                       m_timers.startOnce(serviceTime, [this, request, responder, id, timer] {
                           m_workTimers.erase(timer);
                           callOrFinish(request, responder, id);
                       }));
    }

    /** Writes the journal lines "over" and "beyond" for a request that has just started. */
    void journalOverload()
    {
        const SteadyTime now = m_timers.now();
        if (m_running <= concurrencyLimit()) {
            m_overloaded = false;
            return;
        }
        writeJournal(joinText("over ", m_running, " ", concurrencyLimit()));
        if (m_overloaded && now > m_firstOverloadAnswerAt)
            writeJournal(joinText("beyond ", m_running, " ", concurrencyLimit()));
        // No node can detect the overload before the first overloaded request is answered.
        if (!m_overloaded)
            m_firstOverloadAnswerAt =
                    now + std::chrono::milliseconds(m_workMs * m_running / concurrencyLimit());
        m_overloaded = true;
    }

    /** Ends the process when the load has been above CrashLoadFactor for CrashDelay. */
    void crashIfOverloaded()
    {
        if (m_running <= concurrencyLimit() * CrashLoadFactor)
            m_lastBelowCrashLoadAt = m_timers.now();
        else if (m_timers.now() - m_lastBelowCrashLoadAt > CrashDelay)
            std::_Exit(4);
    }

    void callOrFinish(const HttpRequest &request, const ResponderPointer &responder,
                      const std::string &id)
    {
        const absl::StatusOr<Endpoint> node = parseEndpoint(FLAGS_callers);
        if (FLAGS_calls.empty() || !node.ok()) {
            finish(request, responder, id, "");
            return;
        }
        HttpRequest downstreamRequest{.target = "/" + FLAGS_calls};
        std::int64_t timeLeftMs = 1000;
        parseNumber(findHeader(request.headers, "Jacinthshift-Deadline-Ms"), timeLeftMs);
        for (const HttpHeader &header : request.headers) {
            if (header.name.rfind("Jacinthshift-", 0) == 0 || header.name == "Request-Id")
                downstreamRequest.headers.push_back(header);
        }
        m_http.send(
                HttpSendOptions{.server = *node, .timeout = std::chrono::milliseconds(timeLeftMs)},
                downstreamRequest, [this, request, responder, id](const HttpResult &result) {
                    finish(request, responder, id, result.response.body);
                });
    }

    void finish(const HttpRequest &request, const ResponderPointer &responder,
                const std::string &id, const std::string &downstreamBody)
    {
        --m_running;
        m_overloaded = m_overloaded && m_running > concurrencyLimit();
        writeJournal("done " + id);
        const bool pathMatches = m_failPath.empty() || request.target.find(m_failPath) == 0;
        const bool failed = pathMatches && m_random() % 100 < m_failPercent;
        responder->respond(HttpResponse{
                .status = failed ? 500 : 200,
                .headers = {{.name = "Request-Id", .value = id},
                            {.name = "Backend-Version", .value = FLAGS_label}},
                .body = joinText(FLAGS_service, " ", FLAGS_label, " ", FLAGS_listen, " ",
                                 request.target, " id=", id, " body=", request.body.size(),
                                 downstreamBody.empty() ? "" : "\n  -> ", downstreamBody)});
    }

public:
    int run()
    {
        const absl::StatusOr<Endpoint> endpoint = parseEndpoint(FLAGS_listen);
        if (!endpoint.ok())
            return 2;
        if (!FLAGS_journal.empty())
            m_journal = std::fopen(FLAGS_journal.c_str(), "a");
        const absl::Status status = m_server.listen(
                *endpoint, [this](const HttpRequest &request, const ResponderPointer &responder) {
                    if (request.target == "/control")
                        handleControl(request, responder);
                    else if (request.target == "/drain")
                        handleDrain(responder);
                    else if (request.target == "/health" || request.target == "/load")
                        responder->respond(HttpResponse{.body = std::to_string(m_running)});
                    else
                        serve(request, responder);
                });
        if (!status.ok())
            return 1;
        announce();
        m_announceTimer =
                Timer(m_timers, m_timers.startPeriodic(AnnouncePeriod, [this] { announce(); }));
        GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
        g_main_loop_run(loop);
        return 0;
    }
};

} // namespace

} // namespace jacinthshift

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return jacinthshift::BackendServer().run();
}
