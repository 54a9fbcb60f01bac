// A stand-in for the network between VMs: it relays TCP connections and can cut, hold, silence,
// reset or delay them. The source IP address of a connection identifies its origin.
//
// POST /control takes {"cuts": [{"from": PREFIX, "to": PREFIX}], "holds": [{"from", "to"}],
// "silence": true, "reset": true, "delay_ms": N}:
//   cuts       closes matching connections and refuses new ones, in both directions
//   holds      buffers what is sent in this one direction until the hold is removed
//   silence    permanently drops all data on the connections that are open now; new ones work
//   reset      closes the connections that are open now
//   delay_ms   delays all data by N milliseconds
// "cuts" and "holds" replace the earlier lists.
#include <algorithm>
#include <deque>
#include <list>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <gflags/gflags.h>
#include <glib.h>
#include <nlohmann/json.hpp>

#include "drivers/glib/glib_timer_service.h"
#include "drivers/soup/soup_http_server.h"
#include "drivers/tcp/tcp_socket.h"

DEFINE_string(control, "", "IP:PORT to listen on for control requests");
DEFINE_string(routes, "", "LISTEN=TARGET,... each IP:PORT");

namespace jacinthshift {

namespace {

using nlohmann::json;

/** Matches the traffic from one group of VMs to another; groups are given by address prefixes. */
struct TrafficFilter
{
    std::string from;
    std::string to;

    bool matches(const std::string &origin, const std::string &target) const
    {
        return origin.rfind(from, 0) == 0 && target.rfind(to, 0) == 0;
    }
};

/** Bytes in transit and their arrival time. */
struct Chunk
{
    SteadyTime due;
    std::string bytes;
};

/** One direction of a relayed connection. */
struct Pipe
{
    TcpSocket *from = nullptr;
    TcpSocket *to = nullptr;
    std::string sender;
    std::string receiver;
    std::deque<Chunk> inTransit; ///< In the order in which they were sent.
    Timer arrivalTimer;          ///< Expires when the first chunk is due.
};

/** A connection accepted from its origin, and the one opened to the target on its behalf. */
struct Connection
{
    std::string origin;
    std::string target;
    TcpSocket originSocket;
    TcpSocket targetSocket;
    Pipe toTarget;
    Pipe toOrigin;
    bool connected = false;
    bool silent = false; ///< Drops all data in both directions.
    bool closed = false; ///< To be removed by removeClosedConnections().
};

class NetworkRelay
{
    GlibTimerService m_timers;
    SoupHttpServer m_control{HttpServerOptions{}};
    std::vector<TrafficFilter> m_cuts;
    std::vector<TrafficFilter> m_holds;
    std::chrono::milliseconds m_delay{0};
    std::list<std::shared_ptr<Connection>> m_connections;
    Timer m_cleanupTimer;

    struct Listener
    {
        NetworkRelay *relay;
        Endpoint target;
        GObjectPointer<GSocket> socket;
        GlibSource source;
    };
    std::list<Listener> m_listeners;

    bool isCut(const std::string &origin, const std::string &target) const
    {
        for (const TrafficFilter &cut : m_cuts) {
            if (cut.matches(origin, target) || cut.matches(target, origin))
                return true;
        }
        return false;
    }

    bool isHeld(const Pipe &pipe) const
    {
        return std::any_of(m_holds.begin(), m_holds.end(), [&pipe](const TrafficFilter &hold) {
            return hold.matches(pipe.sender, pipe.receiver);
        });
    }

    void accept(GObjectPointer<GSocket> socket, const Endpoint &target)
    {
        const auto connection = std::make_shared<Connection>();
        connection->originSocket.adopt(std::move(socket));
        connection->origin = connection->originSocket.remoteAddress();
        connection->target = target.address;
        if (isCut(connection->origin, connection->target)
            || !connection->targetSocket.connect(target, connection->origin))
            return;
        connection->toTarget = Pipe{.from = &connection->originSocket,
                                    .to = &connection->targetSocket,
                                    .sender = connection->origin,
                                    .receiver = connection->target};
        connection->toOrigin = Pipe{.from = &connection->targetSocket,
                                    .to = &connection->originSocket,
                                    .sender = connection->target,
                                    .receiver = connection->origin};
        m_connections.push_back(connection);
        connection->targetSocket.waitWritable([this, connection] {
            if (!connection->targetSocket.finishConnect()) {
                closeConnection(connection);
                return;
            }
            connection->connected = true;
            startRelaying(connection, connection->toTarget);
            startRelaying(connection, connection->toOrigin);
        });
    }

    /** Stops relaying on a connection, which removeClosedConnections() then removes. */
    void closeConnection(const std::shared_ptr<Connection> &connection)
    {
        connection->closed = true;
        connection->originSocket.stopWaiting();
        connection->targetSocket.stopWaiting();
        connection->toTarget.arrivalTimer.stop();
        connection->toOrigin.arrivalTimer.stop();
    }

    void startRelaying(const std::shared_ptr<Connection> &connection, Pipe &pipe)
    {
        pipe.from->waitReadable([this, connection, &pipe] {
            char buffer[16384];
            std::size_t received = 0;
            const SocketResult outcome = pipe.from->read(buffer, sizeof buffer, received);
            if (outcome == SocketResult::WouldBlock)
                return;
            if (outcome != SocketResult::Progress) {
                closeConnection(connection);
                return;
            }
            forward(connection, pipe, std::string(buffer, received));
        });
    }

    void forward(const std::shared_ptr<Connection> &connection, Pipe &pipe,
                 const std::string &bytes)
    {
        if (connection->silent)
            return;
        SteadyTime due = m_timers.now() + m_delay;
        if (!pipe.inTransit.empty())
            due = std::max(due, pipe.inTransit.back().due);
        pipe.inTransit.push_back(Chunk{.due = due, .bytes = bytes});
        deliverDue(connection, pipe);
    }

    /** Delivers the chunks that are due, in order; during a hold none is delivered. */
    void deliverDue(const std::shared_ptr<Connection> &connection, Pipe &pipe)
    {
        pipe.arrivalTimer.stop();
        const SteadyTime now = m_timers.now();
        while (!pipe.inTransit.empty() && !isHeld(pipe)) {
            if (pipe.inTransit.front().due > now) {
                const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
                        pipe.inTransit.front().due - now);
                pipe.arrivalTimer =
                        Timer(m_timers, m_timers.startOnce(remaining, [this, connection, &pipe] {
                            deliverDue(connection, pipe);
                        }));
                return;
            }
            const std::string bytes = std::move(pipe.inTransit.front().bytes);
            pipe.inTransit.pop_front();
            deliver(connection, pipe, bytes);
        }
    }

    void deliver(const std::shared_ptr<Connection> &connection, Pipe &pipe,
                 const std::string &bytes)
    {
        if (connection->closed || connection->silent)
            return;
        // Blocks the whole relay until a slow receiver has room; the test bench's loads are small.
        std::size_t written = 0;
        while (written < bytes.size()) {
            const SocketResult outcome =
                    pipe.to->write(bytes.data() + written, bytes.size() - written, written);
            if (outcome == SocketResult::WouldBlock) {
                g_usleep(200);
                continue;
            }
            if (outcome != SocketResult::Progress) {
                closeConnection(connection);
                return;
            }
        }
    }

    void removeClosedConnections()
    {
        m_connections.remove_if([](const auto &connection) { return connection->closed; });
    }

    static std::vector<TrafficFilter> readFilters(const json &list)
    {
        std::vector<TrafficFilter> filters;
        for (const json &entry : list)
            filters.push_back(TrafficFilter{.from = entry.at("from").get<std::string>(),
                                            .to = entry.at("to").get<std::string>()});
        return filters;
    }

    void handleControl(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
    {
        const json parameters = json::parse(request.body.string(), nullptr, false);
        if (parameters.contains("cuts"))
            m_cuts = readFilters(parameters["cuts"]);
        if (parameters.contains("holds"))
            m_holds = readFilters(parameters["holds"]);
        m_delay = std::chrono::milliseconds(parameters.value("delay_ms", m_delay.count()));
        for (const auto &connection : m_connections) {
            if (parameters.value("silence", false))
                connection->silent = true;
            if (parameters.value("reset", false) || isCut(connection->origin, connection->target))
                closeConnection(connection);
            deliverDue(connection, connection->toTarget);
            deliverDue(connection, connection->toOrigin);
        }
        removeClosedConnections();
        responder->respond(HttpResponse{});
    }

    static gboolean listenerReady(GSocket *socket, GIOCondition, gpointer data)
    {
        const Listener *listener = static_cast<Listener *>(data);
        GObjectPointer<GSocket> accepted(g_socket_accept(socket, nullptr, nullptr));
        if (accepted != nullptr)
            listener->relay->accept(std::move(accepted), listener->target);
        return G_SOURCE_CONTINUE;
    }

    bool listen(const Endpoint &endpoint, const Endpoint &target)
    {
        Listener &listener = m_listeners.emplace_back();
        listener.relay = this;
        listener.target = target;
        listener.socket.reset(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                           G_SOCKET_PROTOCOL_TCP, nullptr));
        const GObjectPointer<GSocketAddress> address(
                g_inet_socket_address_new_from_string(endpoint.address.c_str(), endpoint.port));
        g_socket_set_blocking(listener.socket.get(), FALSE);
        g_socket_set_listen_backlog(listener.socket.get(), 256);
        if (!g_socket_bind(listener.socket.get(), address.get(), TRUE, nullptr)
            || !g_socket_listen(listener.socket.get(), nullptr))
            return false;
        GSource *source = g_socket_create_source(listener.socket.get(), G_IO_IN, nullptr);
        g_source_set_callback(source, G_SOURCE_FUNC(listenerReady), &listener, nullptr);
        listener.source = GlibSource(source);
        return true;
    }

public:
    int run()
    {
        std::istringstream routes(FLAGS_routes);
        std::string route;
        while (std::getline(routes, route, ',')) {
            const std::size_t separator = route.find('=');
            const absl::StatusOr<Endpoint> endpoint = parseEndpoint(route.substr(0, separator));
            const absl::StatusOr<Endpoint> target = parseEndpoint(route.substr(separator + 1));
            if (!endpoint.ok() || !target.ok() || !listen(*endpoint, *target))
                return 2;
        }
        const absl::StatusOr<Endpoint> control = parseEndpoint(FLAGS_control);
        if (!control.ok())
            return 2;
        const absl::Status status =
                m_control.listen(*control, [this](const HttpRequest &request,
                                                  const std::shared_ptr<HttpResponder> &responder) {
                    handleControl(request, responder);
                });
        if (!status.ok())
            return 1;
        m_cleanupTimer =
                Timer(m_timers, m_timers.startPeriodic(std::chrono::milliseconds(200),
                                                       [this] { removeClosedConnections(); }));
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
    return jacinthshift::NetworkRelay().run();
}
