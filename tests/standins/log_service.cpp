// A stand-in for the platform's append-only log service. It keeps its streams in memory.
//
// POST /control takes {"down": bool, "delay_ms": N, "lose_answers": N, "retain": N, "hide": N,
// "stream": NAME} and returns the numbers of appends and reads:
//   down           answers every request with status 503
//   delay_ms       delays the handling of each request
//   lose_answers   appends the next N records without answering
//   retain         drops all but the newest N records of the stream, by default "config"
//   hide           answers reads as if the newest N records did not exist
#include <map>
#include <memory>
#include <vector>

#include <gflags/gflags.h>
#include <glib.h>
#include <nlohmann/json.hpp>

#include "core/text.h"
#include "drivers/glib/glib_timer_service.h"
#include "drivers/soup/soup_http_server.h"

DEFINE_string(listen, "", "IP:PORT to listen on");

namespace jacinthshift {

namespace {

using nlohmann::json;
using ResponderPointer = std::shared_ptr<HttpResponder>;

constexpr std::size_t MaxBodyBytes = 80 * 1024 * 1024;

struct Stream
{
    std::uint64_t firstOffset = 1; ///< Offset of the oldest retained record.
    std::vector<std::string> records;

    std::uint64_t nextOffset() const { return firstOffset + records.size(); }
};

/** A read that waits for records (long polling). */
struct PendingRead
{
    std::string stream;
    std::uint64_t fromOffset = 1;
    std::uint64_t maxRecords = 256;
    ResponderPointer responder;
    Timer waitTimer; ///< Ends the wait.
};

class LogService
{
    GlibTimerService m_timers;
    SoupHttpServer m_server{HttpServerOptions{.maxBodyBytes = MaxBodyBytes}};
    std::map<std::string, Stream> m_streams;
    std::vector<std::shared_ptr<PendingRead>> m_pendingReads;
    std::vector<ResponderPointer> m_unanswered; ///< Appends whose answer is suppressed.
    std::vector<Timer> m_delayTimers;
    bool m_down = false;
    int m_answersToLose = 0;
    std::uint64_t m_hiddenRecords = 0;
    std::uint64_t m_appends = 0;
    std::uint64_t m_reads = 0;
    std::chrono::milliseconds m_delay{0};

    static std::uint64_t queryParameter(const std::string &target, const std::string &name,
                                        std::uint64_t fallback)
    {
        const std::size_t at = target.find(name + "=");
        if (at == std::string::npos)
            return fallback;
        const std::size_t start = at + name.size() + 1;
        std::uint64_t value = fallback;
        parseNumber(std::string_view(target).substr(start, target.find('&', start) - start), value);
        return value;
    }

    void handleControl(const HttpRequest &request, const ResponderPointer &responder)
    {
        const json parameters = json::parse(request.body.string(), nullptr, false);
        m_down = parameters.value("down", m_down);
        m_delay = std::chrono::milliseconds(parameters.value("delay_ms", m_delay.count()));
        m_answersToLose = parameters.value("lose_answers", m_answersToLose);
        m_hiddenRecords = parameters.value("hide", m_hiddenRecords);
        if (parameters.contains("retain")) {
            const std::size_t retainedCount = parameters["retain"].get<std::size_t>();
            Stream &stream = m_streams[parameters.value("stream", "config")];
            while (stream.records.size() > retainedCount) {
                stream.records.erase(stream.records.begin());
                ++stream.firstOffset;
            }
        }
        const json state{{"appends", m_appends}, {"reads", m_reads}};
        responder->respond(HttpResponse{.body = state.dump()});
    }

    void append(const std::string &name, const HttpRequest &request,
                const ResponderPointer &responder)
    {
        ++m_appends;
        Stream &stream = m_streams[name];
        const std::uint64_t offset = stream.nextOffset();
        stream.records.push_back(request.body);
        if (m_answersToLose > 0) {
            --m_answersToLose;
            m_unanswered.push_back(responder);
        } else {
            responder->respond(HttpResponse{.body = json{{"offset", offset}}.dump()});
        }
        std::erase_if(m_pendingReads,
                      [this](const auto &read) { return answerIfReady(*read, false); });
    }

    /**
     * Answers a read when it has records or starts before the oldest retained record, and an empty
     * one only if evenIfEmpty. Returns whether it was answered.
     */
    bool answerIfReady(const PendingRead &read, bool evenIfEmpty)
    {
        const Stream &stream = m_streams[read.stream];
        const std::uint64_t hidden =
                std::min<std::uint64_t>(m_hiddenRecords, stream.records.size());
        const std::uint64_t next = stream.nextOffset() - hidden;
        json records = json::array();
        for (std::uint64_t offset = std::max(read.fromOffset, stream.firstOffset);
             offset < next && records.size() < read.maxRecords; ++offset)
            records.push_back(json{{"offset", offset},
                                   {"payload", stream.records[offset - stream.firstOffset]}});
        if (records.empty() && !evenIfEmpty && read.fromOffset >= stream.firstOffset)
            return false;
        const json page{{"first", stream.firstOffset}, {"next", next}, {"records", records}};
        read.responder->respond(HttpResponse{.body = page.dump()});
        return true;
    }

    void read(const std::string &name, const HttpRequest &request,
              const ResponderPointer &responder)
    {
        ++m_reads;
        const auto pending = std::make_shared<PendingRead>();
        pending->stream = name;
        pending->fromOffset = queryParameter(request.target, "from", 1);
        pending->maxRecords = queryParameter(request.target, "max", 256);
        pending->responder = responder;
        const std::chrono::milliseconds wait(queryParameter(request.target, "wait_ms", 0));
        if (answerIfReady(*pending, wait.count() == 0))
            return;
        const std::weak_ptr<PendingRead> weak = pending;
        pending->waitTimer = Timer(m_timers, m_timers.startOnce(wait, [this, weak] {
            const std::shared_ptr<PendingRead> expired = weak.lock();
            answerIfReady(*expired, true);
            std::erase(m_pendingReads, expired);
        }));
        m_pendingReads.push_back(pending);
    }

    void serve(const HttpRequest &request, const ResponderPointer &responder)
    {
        static const std::string streamPrefix = "/streams/";
        const std::size_t end = request.target.find('/', streamPrefix.size());
        if (request.target.rfind(streamPrefix, 0) != 0 || end == std::string::npos) {
            responder->respond(HttpResponse{.status = 404});
            return;
        }
        const std::string name =
                request.target.substr(streamPrefix.size(), end - streamPrefix.size());
        if (request.method == "POST")
            append(name, request, responder);
        else
            read(name, request, responder);
    }

public:
    int run()
    {
        const absl::StatusOr<Endpoint> endpoint = parseEndpoint(FLAGS_listen);
        if (!endpoint.ok())
            return 2;
        const absl::Status status = m_server.listen(
                *endpoint, [this](const HttpRequest &request, const ResponderPointer &responder) {
                    if (request.target == "/control") {
                        handleControl(request, responder);
                    } else if (m_down) {
                        responder->respond(HttpResponse{.status = 503});
                    } else if (m_delay.count() > 0) {
                        m_delayTimers.emplace_back(
                                m_timers, m_timers.startOnce(m_delay, [this, request, responder] {
                                    serve(request, responder);
                                }));
                    } else {
                        serve(request, responder);
                    }
                });
        if (!status.ok())
            return 1;
        GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
        g_main_loop_run(loop);
        return 0;
    }
};

} // namespace

} // namespace jacinthshift

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return jacinthshift::LogService().run();
}
