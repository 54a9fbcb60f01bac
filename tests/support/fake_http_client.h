#ifndef TESTS_SUPPORT_FAKE_HTTP_CLIENT_H
#define TESTS_SUPPORT_FAKE_HTTP_CLIENT_H

#include <map>
#include <utility>
#include <vector>

#include "servers/http_client.h"

namespace jacinthshift {

/** An HTTP client whose exchanges wait until the test answers them. */
class FakeHttpClient final : public HttpClient
{
public:
    struct Exchange
    {
        HttpSendOptions options;
        HttpRequest request;
        Callback callback;
    };

    std::map<HttpCallId, Exchange> open;
    std::vector<HttpRequest> sent;
    int cancelled = 0;

    HttpCallId send(const HttpSendOptions &options, const HttpRequest &request,
                    Callback callback) override
    {
        sent.push_back(request);
        const HttpCallId id = static_cast<HttpCallId>(sent.size());
        open[id] = Exchange{options, request, std::move(callback)};
        return id;
    }
    void cancel(HttpCallId id) override { cancelled += static_cast<int>(open.erase(id)); }

    /** Answers the oldest open exchange. */
    void finish(HttpResult result)
    {
        const Callback callback = open.begin()->second.callback;
        open.erase(open.begin());
        callback(std::move(result));
    }
    void answer(int status, std::vector<HttpHeader> headers = {}, std::string body = "")
    {
        finish(HttpResult{.verdict = Verdict::Done,
                          .response = {.status = status,
                                       .headers = std::move(headers),
                                       .body = std::move(body)}});
    }
    void fail(HttpFailure failure, Verdict verdict)
    {
        finish(HttpResult{.verdict = verdict, .failure = failure});
    }
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_FAKE_HTTP_CLIENT_H
