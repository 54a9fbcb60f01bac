#ifndef TESTS_SUPPORT_FAKE_HTTP_CLIENT_H
#define TESTS_SUPPORT_FAKE_HTTP_CLIENT_H

#include <map>
#include <utility>
#include <vector>

#include "servers/http_client.h"

namespace jacinthshift {

/** An HTTP client whose exchanges are pending until the test completes them. */
class FakeHttpClient final : public HttpClient
{
public:
    struct Exchange
    {
        HttpSendOptions options;
        HttpRequest request;
        Callback callback;
    };

    std::map<HttpCallId, Exchange> pendingExchanges; ///< Exchanges without a result, oldest first.
    std::vector<HttpRequest> sentRequests;
    int cancelledCount = 0;

    HttpCallId send(const HttpSendOptions &options, const HttpRequest &request,
                    Callback callback) override
    {
        sentRequests.push_back(request);
        const HttpCallId id = static_cast<HttpCallId>(sentRequests.size());
        pendingExchanges[id] = Exchange{options, request, std::move(callback)};
        return id;
    }
    void cancel(HttpCallId id) override
    {
        cancelledCount += static_cast<int>(pendingExchanges.erase(id));
    }

    /** Completes the oldest pending exchange. */
    void complete(HttpResult result)
    {
        const Callback callback = pendingExchanges.begin()->second.callback;
        pendingExchanges.erase(pendingExchanges.begin());
        callback(std::move(result));
    }
    /** Completes the oldest pending exchange with a response. */
    void respond(int status, std::vector<HttpHeader> headers = {}, std::string body = "")
    {
        complete(HttpResult{.verdict = Verdict::Done,
                            .response = {.status = status,
                                         .headers = std::move(headers),
                                         .body = std::move(body)}});
    }
    /** Completes the oldest pending exchange without a response. */
    void fail(HttpFailure failure, Verdict verdict)
    {
        complete(HttpResult{.verdict = verdict, .failure = failure});
    }
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_FAKE_HTTP_CLIENT_H
