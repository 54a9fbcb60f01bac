#ifndef MODULES_OWNER_BACKEND_PROBE_H
#define MODULES_OWNER_BACKEND_PROBE_H

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "core/endpoint.h"
#include "servers/header_names.h"
#include "servers/http_client.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct BackendProbeOptions
{
    HeaderNames headers;
    std::chrono::milliseconds timeout{500};
    std::chrono::milliseconds connectTimeout{400};
};

/** The backend server that a probe asks, and how. */
struct ProbeTarget
{
    Endpoint server;
    std::string path;    ///< Its health path.
    std::string backend; ///< The id of the backend server that is expected there.
    /** Whether the probe opens a connection, which shows whether anything listens there. */
    bool newConnection = false;
};

/** What a probe has shown. */
struct ProbeResult
{
    enum class Outcome {
        Answered,     ///< The expected backend server answered.
        NoConnection, ///< No connection could be opened.
        Replaced,     ///< Another backend server answered.
        Unknown,      ///< No answer in time, or none that names its sender.
    };

    Outcome outcome = Outcome::Unknown;
    SteadyTime sentAt;
    std::optional<std::chrono::milliseconds> coldRemaining; ///< If the answer says so.
};

/** Sends requests to the health path of a backend server, one at a time. */
class BackendProbe
{
public:
    using Callback = std::function<void(const ProbeResult &)>;

private:
    BackendProbeOptions m_options;
    HttpClient &m_client;
    TimerService &m_timers;
    HttpCallId m_call = HttpCallId::None;
    std::uint64_t m_lastProbe = 0; ///< Tells an outstanding probe from a cancelled one.

    ProbeResult evaluate(const ProbeTarget &target, const HttpResult &result) const;

public:
    BackendProbe(const BackendProbeOptions &options, HttpClient &client, TimerService &timers)
        : m_options(options), m_client(client), m_timers(timers)
    {
    }

    /** Sends a probe, unless one is outstanding or the target has no health path. */
    void send(const ProbeTarget &target, Callback callback);
    /** Cancels the outstanding probe, if any; its callback will not run. */
    void cancel();
    bool isOutstanding() const { return m_call != HttpCallId::None; }
};

} // namespace jacinthshift

#endif // MODULES_OWNER_BACKEND_PROBE_H
