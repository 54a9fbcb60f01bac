#include <catch2/catch.hpp>

#include "drivers/glib/glib_timer_service.h"
#include "drivers/soup/soup_http_server.h"
#include "tests/support/slow_reader.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

const Endpoint listenAddress{"127.0.0.1", 18'392};
constexpr std::size_t LongBytes = 1'000'000;

} // namespace

// Guards against a stop that takes a response for delivered while its caller still reads it.
TEST_CASE("a response counts as undelivered until its caller has read it")
{
    GlibTimerService timers;
    SoupHttpServer server(HttpServerOptions{});
    REQUIRE(server.listen(listenAddress, [](const HttpRequest &,
                                            const std::shared_ptr<HttpResponder> &responder) {
                      responder->respond(HttpResponse{.body = std::string(LongBytes, 'r')});
                  }).ok());
    SlowReader caller({.server = listenAddress, .readBytes = 20'000, .period = milliseconds(5)},
                      timers);
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    std::size_t samplesWhileReading = 0;
    std::size_t undeliveredSamples = 0;
    const Timer sampler(timers, timers.startPeriodic(milliseconds(10), [&] {
        if (!caller.hasReceived() || !caller.responses().empty())
            return;
        ++samplesWhileReading;
        undeliveredSamples += server.undeliveredResponses().connections;
    }));
    bool timedOut = false;
    const Timer limit(timers, timers.startOnce(milliseconds(10'000), [&] { timedOut = true; }));
    while (caller.responses().empty() && !timedOut)
        g_main_context_iteration(nullptr, TRUE);
    REQUIRE_FALSE(timedOut);
    CHECK(samplesWhileReading > 5);
    // The last part is in the kernel's buffers before the caller has read it.
    CHECK(undeliveredSamples * 2 > samplesWhileReading);
    CHECK(server.undeliveredResponses().connections == 0);
}

} // namespace jacinthshift
