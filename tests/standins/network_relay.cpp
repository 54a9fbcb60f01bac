// A stand-in for the network between VMs: it relays TCP connections and can cut, silence or delay
// them. A connection's origin is known by the IP number it comes from.
//
// POST /control takes {"cuts": [{"from": PREFIX, "to": PREFIX}], "holds": [{"from", "to"}],
// "silence": true, "reset": true, "delay_ms": N}. A cut closes matching connections and refuses new
// ones; a hold keeps what is sent from one side to the other until it is taken back; silence stops
// all connections that are open now from carrying anything, for good, while new ones work; reset
// closes those that are open now.
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

DEFINE_string(control, "", "IP:PORT for orders");
DEFINE_string(routes, "", "LISTEN=TARGET,... each IP:PORT");

namespace jacinthshift {

namespace {

using nlohmann::json;

/** Concerns what goes between two groups of VMs, named by the start of their addresses. */
struct Cut
{
    std::string from;
    std::string to;

    bool hits(const std::string &origin, const std::string &target) const
    {
        return origin.rfind(from, 0) == 0 && target.rfind(to, 0) == 0;
    }
};

/** Bytes on their way, and when they arrive. */
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
    std::deque<Chunk> waiting; ///< In the order in which they were sent.
    Timer arrival;             ///< Of the first one.
};

struct Connection
{
    std::string origin;
    std::string target;
    TcpSocket near;
    TcpSocket far;
    Pipe up;
    Pipe down;
    bool connected = false;
    bool silent = false;
    bool dead = false;
};

class NetworkRelay
{
    GlibTimerService m_timers;
    SoupHttpServer m_control{HttpServerOptions{}};
    std::vector<Cut> m_cuts;
    std::vector<Cut> m_holds;
    std::chrono::milliseconds m_delay{0};
    std::list<std::shared_ptr<Connection>> m_connections;
    Timer m_sweeper;

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
        for (const Cut &cut : m_cuts) {
            if (cut.hits(origin, target) || cut.hits(target, origin))
                return true;
        }
        return false;
    }

    bool isHeld(const Pipe &pipe) const
    {
        return std::any_of(m_holds.begin(), m_holds.end(), [&pipe](const Cut &hold) {
            return hold.hits(pipe.sender, pipe.receiver);
        });
    }

    void accept(GObjectPointer<GSocket> socket, const Endpoint &target)
    {
        const auto connection = std::make_shared<Connection>();
        connection->near.adopt(std::move(socket));
        connection->origin = connection->near.remoteAddress();
        connection->target = target.address;
        if (isCut(connection->origin, connection->target)
            || !connection->far.connect(target, connection->origin))
            return;
        connection->up = Pipe{.from = &connection->near,
                              .to = &connection->far,
                              .sender = connection->origin,
                              .receiver = connection->target};
        connection->down = Pipe{.from = &connection->far,
                                .to = &connection->near,
                                .sender = connection->target,
                                .receiver = connection->origin};
        m_connections.push_back(connection);
        connection->far.waitWritable([this, connection] {
            if (!connection->far.finishConnect()) {
                kill(connection);
                return;
            }
            connection->connected = true;
            pump(connection, connection->up);
            pump(connection, connection->down);
        });
    }

    void kill(const std::shared_ptr<Connection> &connection)
    {
        connection->dead = true;
        connection->near.stopWaiting();
        connection->far.stopWaiting();
        connection->up.arrival.stop();
        connection->down.arrival.stop();
    }

    void pump(const std::shared_ptr<Connection> &connection, Pipe &pipe)
    {
        pipe.from->waitReadable([this, connection, &pipe] {
            char buffer[16384];
            std::size_t received = 0;
            const SocketStep step = pipe.from->read(buffer, sizeof buffer, received);
            if (step == SocketStep::WouldBlock)
                return;
            if (step != SocketStep::Progress) {
                kill(connection);
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
        if (!pipe.waiting.empty())
            due = std::max(due, pipe.waiting.back().due);
        pipe.waiting.push_back(Chunk{.due = due, .bytes = bytes});
        deliverDue(connection, pipe);
    }

    /** Delivers what has arrived, in order; during a hold nothing arrives. */
    void deliverDue(const std::shared_ptr<Connection> &connection, Pipe &pipe)
    {
        pipe.arrival.stop();
        const SteadyTime now = m_timers.now();
        while (!pipe.waiting.empty() && !isHeld(pipe)) {
            if (pipe.waiting.front().due > now) {
                const auto left = std::chrono::ceil<std::chrono::milliseconds>(
                        pipe.waiting.front().due - now);
                pipe.arrival = Timer(m_timers, m_timers.startOnce(left, [this, connection, &pipe] {
                    deliverDue(connection, pipe);
                }));
                return;
            }
            const std::string bytes = std::move(pipe.waiting.front().bytes);
            pipe.waiting.pop_front();
            deliver(connection, pipe, bytes);
        }
    }

    void deliver(const std::shared_ptr<Connection> &connection, Pipe &pipe,
                 const std::string &bytes)
    {
        if (connection->dead || connection->silent)
            return;
        // The test bench's loads are small; a receiver that does not keep up is given time here.
        std::size_t written = 0;
        while (written < bytes.size()) {
            const SocketStep step =
                    pipe.to->write(bytes.data() + written, bytes.size() - written, written);
            if (step == SocketStep::WouldBlock) {
                g_usleep(200);
                continue;
            }
            if (step != SocketStep::Progress) {
                kill(connection);
                return;
            }
        }
    }

    void sweep()
    {
        m_connections.remove_if([](const auto &connection) { return connection->dead; });
    }

    static std::vector<Cut> readCuts(const json &list)
    {
        std::vector<Cut> cuts;
        for (const json &cut : list)
            cuts.push_back(Cut{.from = cut.at("from").get<std::string>(),
                               .to = cut.at("to").get<std::string>()});
        return cuts;
    }

    void order(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
    {
        const json order = json::parse(request.body, nullptr, false);
        if (order.contains("cuts"))
            m_cuts = readCuts(order["cuts"]);
        if (order.contains("holds"))
            m_holds = readCuts(order["holds"]);
        m_delay = std::chrono::milliseconds(order.value("delay_ms", m_delay.count()));
        for (const auto &connection : m_connections) {
            if (order.value("silence", false))
                connection->silent = true;
            if (order.value("reset", false) || isCut(connection->origin, connection->target))
                kill(connection);
            deliverDue(connection, connection->up);
            deliverDue(connection, connection->down);
        }
        sweep();
        responder->respond(HttpResponse{});
    }

    static gboolean connectionWaits(GSocket *socket, GIOCondition, gpointer data)
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
        g_source_set_callback(source, G_SOURCE_FUNC(connectionWaits), &listener, nullptr);
        listener.source = GlibSource(source);
        return true;
    }

public:
    int run()
    {
        std::istringstream routes(FLAGS_routes);
        std::string route;
        while (std::getline(routes, route, ',')) {
            const std::size_t split = route.find('=');
            const absl::StatusOr<Endpoint> endpoint = parseEndpoint(route.substr(0, split));
            const absl::StatusOr<Endpoint> target = parseEndpoint(route.substr(split + 1));
            if (!endpoint.ok() || !target.ok() || !listen(*endpoint, *target))
                return 2;
        }
        const absl::StatusOr<Endpoint> control = parseEndpoint(FLAGS_control);
        if (!control.ok())
            return 2;
        const absl::Status status =
                m_control.listen(*control, [this](const HttpRequest &request,
                                                  const std::shared_ptr<HttpResponder> &responder) {
                    order(request, responder);
                });
        if (!status.ok())
            return 1;
        m_sweeper = Timer(m_timers, m_timers.startPeriodic(std::chrono::milliseconds(200),
                                                           [this] { sweep(); }));
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
