#ifndef DRIVERS_HTTP_LOG_HTTP_LOG_CLIENT_H
#define DRIVERS_HTTP_LOG_HTTP_LOG_CLIENT_H

#include <chrono>

#include "core/endpoint.h"
#include "servers/log_client.h"

namespace jacinthshift {

class HttpClient;

/** Options of a client of the platform's log. */
struct HttpLogClientOptions
{
    Endpoint server;
    /** Timeout of an append; a read has its maxWait in addition. */
    std::chrono::milliseconds timeout{3'000};
};

/**
 * A client of the platform's log over HTTP with JSON.
 *
 * POST /streams/NAME/records appends the body and answers {"offset": N}.
 * GET /streams/NAME/records?from=N&max=M&wait_ms=W answers
 * {"first": A, "next": B, "records": [{"offset": N, "payload": "..."}]}.
 */
class HttpLogClient final : public LogClient
{
    HttpLogClientOptions m_options;
    HttpClient &m_http;

public:
    HttpLogClient(const HttpLogClientOptions &options, HttpClient &http)
        : m_options(options), m_http(http)
    {
    }

    void append(const std::string &stream, const std::string &payload,
                AppendCallback callback) override;
    void read(const LogReadRequest &request, ReadCallback callback) override;
};

} // namespace jacinthshift

#endif // DRIVERS_HTTP_LOG_HTTP_LOG_CLIENT_H
