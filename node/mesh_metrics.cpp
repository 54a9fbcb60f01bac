#include "node/mesh_metrics.h"

#include <algorithm>
#include <ctime>

#include "core/logger.h"
#include "core/text.h"

namespace jacinthshift {

namespace {

void appendLinkMetrics(std::string &text, const FleetNetwork &network)
{
    for (std::size_t kind = 0; kind < std::variant_size_v<FleetMessage>; ++kind) {
        for (const bool otherDomain : {false, true}) {
            const FrameCount &sent = network.sentFrames(kind, otherDomain);
            const std::string label =
                    joinText("{kind=\"", kind, "\",far=\"", otherDomain ? "yes" : "no", "\"} ");
            text += joinText("jacinthshift_link_frames_total", label, sent.frames,
                             "\njacinthshift_link_bytes_total", label, sent.bytes, "\n");
        }
    }
}

/** Appends for how long the process has been stopping, and what it waits for. */
void appendShutdownMetrics(std::string &text, const GracefulShutdown &shutdown)
{
    if (!shutdown.isActive())
        return;
    text += joinText("jacinthshift_shutdown_ms ", shutdown.elapsed().count(), "\n");
    for (const ShutdownTask &task : shutdown.tasks()) {
        const UnfinishedWork work = task.unfinished();
        const std::string label = joinText("{part=\"", task.name, "\"} ");
        text += joinText("jacinthshift_shutdown_unfinished", label, work.items,
                         "\njacinthshift_shutdown_unfinished_bytes", label, work.bytes, "\n");
    }
}

} // namespace

std::string meshMetricsText(const MeshMetricsSources &sources)
{
    std::string text = sources.traffic.prometheusText();
    const auto appendMetric = [&text](const char *name, auto value) {
        text += joinText("jacinthshift_", name, " ", value, "\n");
    };
    const FleetNetwork &network = sources.network;
    const auto reachable = std::count_if(
            network.peers().begin(), network.peers().end(),
            [&network](const auto &entry) { return network.isReachable(entry.second); });
    appendMetric("config_version", sources.configVersion);
    appendMetric("operator_table_end", sources.table.end());
    appendMetric("usage_holder", sources.reportsUsage ? 1 : 0);
    appendMetric("operator_table_era", sources.table.position().era);
    appendMetric("log_reachable", sources.follower.isReachable() ? 1 : 0);
    appendMetric("log_answer_age_ms", sources.follower.answerAge().count());
    if (sources.keysEnabled) {
        appendMetric("keys_verified", sources.keysVerified ? 1 : 0);
        if (sources.knowledgeAge)
            appendMetric("keys_age_ms", sources.knowledgeAge->count());
    }
    appendMetric("peers_known", network.peers().size());
    appendMetric("peers_reachable", reachable);
    appendMetric("loop_delay_ms", sources.loop.delay().count());
    appendMetric("loop_delay_max_ms", sources.loop.maxDelay().count());
    appendMetric("loop_delays_total", sources.loop.reportedDelays());
    appendMetric("loop_longest_events_us", sources.loopParts.events.count());
    appendMetric("loop_longest_timers_us", sources.loopParts.timers.count());
    appendMetric("loop_longest_deferred_us", sources.loopParts.deferred.count());
    appendMetric("caller_connections", sources.callerConnections);
    appendMetric("requests_abandoned_total", sources.abandonedRequests);
    appendMetric("requests_run_ahead_total", sources.requestsRunAhead);
    appendMetric("responses_buffered_bytes", sources.bufferedResponseBytes);
    appendMetric("held_bytes", sources.account.bytes());
    appendMetric("held_bytes_limit", sources.account.limit());
    appendMetric("holders_evicted_total", sources.account.evictions());
    appendMetric("held_refusals_total", sources.account.refusals());
    appendMetric("requests_open", sources.openRequests);
    appendMetric("calls_orphaned_total", sources.orphanedCalls);
    appendMetric("crash_suspects", sources.crashSuspects);
    const CrashExchangeCounts &crashes = sources.crashes.counts();
    appendMetric("crash_reports_received_total", crashes.received);
    appendMetric("crash_reports_news_total", crashes.news);
    appendMetric("crash_reports_dropped_total", crashes.dropped);
    appendMetric("crash_reports_waiting", sources.crashes.waiting());
    appendMetric("departures_pending", sources.pendingDepartures);
    const BackendStatus &backend = sources.backend;
    appendMetric("backend_available", backend.availability == BackendAvailability::Ready ? 1 : 0);
    appendMetric("backend_limit", backend.concurrencyLimit);
    appendMetric("backend_running", backend.running);
    appendMetric("backend_cold", backend.startsPerSecond > 0 ? 1 : 0);
    appendMetric("backend_waiting", backend.queued);
    appendMetric("backend_service_ms", backend.serviceTime.count());
    appendMetric("backend_remaining_work_ms", backend.remainingWork.count());
    appendMetric("backend_normal_run_ms", backend.normalRunTime.count());
    appendMetric("backend_pace_percent", backend.pacePercent);
    appendMetric("backend_failures_per_thousand", backend.failuresPerThousand);
    appendLinkMetrics(text, network);
    appendShutdownMetrics(text, sources.shutdown);
    const LogLosses losses = logLosses();
    appendMetric("log_lines_limited_total", losses.rateLimited);
    appendMetric("log_lines_dropped_total", losses.dropped);
    for (const auto &[outcome, count] : sources.storeCalls)
        text += joinText("jacinthshift_store_calls_total{outcome=\"", outcome, "\"} ", count, "\n");
    const double processorSeconds = static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
    text += joinText("jacinthshift_process_cpu_seconds_total ", std::to_string(processorSeconds),
                     "\n");
    return text;
}

} // namespace jacinthshift
