#ifndef SERVERS_HEADER_NAMES_H
#define SERVERS_HEADER_NAMES_H

#include <string>

namespace jacinthshift {

/** The names of the HTTP headers that callers, nodes and backend servers exchange. */
struct HeaderNames
{
    std::string requestId;        ///< Identifies one attempt of a caller; echoed in responses.
    std::string deadline;         ///< How long the caller still waits, in milliseconds.
    std::string expectedInstance; ///< The only backend server that may run the request.
    std::string callerService;    ///< The service on whose VM the request originated.
    std::string notRun;           ///< Present in responses to requests that were not run.
    std::string seal;             ///< Present in responses that the backend server itself wrote.
    std::string load;             ///< Running and queued requests and slots of the backend server.
    std::string instance;         ///< The id of the backend server that responds.
    std::string coldMilliseconds; ///< How long the backend server stays cold, in milliseconds.
    std::string requestRateLimit; ///< Requests per second that the backend server takes from all.
    std::string leaving;          ///< "1" in all responses of a backend server that shuts down.
    std::string retryAfter;       ///< After how many seconds a rejected caller may retry.
    std::string workspaceKey;     ///< The key by which a caller proves its workspace.
    std::string workspace;        ///< The name of the caller's workspace, set by its node.
};

} // namespace jacinthshift

#endif // SERVERS_HEADER_NAMES_H
