#ifndef TESTS_HOSTILE_HOSTILE_CROWD_H
#define TESTS_HOSTILE_HOSTILE_CROWD_H

#include <cstddef>
#include <vector>

#include "core/endpoint.h"
#include "tests/hostile/hostile_case.h"

namespace jacinthshift {

/** The connections of the hostile clients of one case. */
class HostileCrowd
{
    struct Client
    {
        int descriptor = -1;
        std::size_t number = 0;
        std::size_t opened = 0; ///< Connections so far.
        std::size_t offset = 0; ///< Bytes sent on the current connection.
        std::size_t sent = 0;   ///< Bytes sent on all connections.
        bool hasEnded = false;
    };

    const HostileCase &m_case;
    Endpoint m_server;
    std::vector<Client> m_clients;
    std::size_t m_connections = 0;
    std::size_t m_steps = 0;

    void connect(Client &client);
    void disconnect(Client &client) const;
    void reset(Client &client) const;
    void write(Client &client);
    void read(Client &client) const;
    /** Returns at least the wanted number of bytes that follow those sent on the connection. */
    std::string nextBytes(const Client &client, std::size_t wanted) const;
    bool hasSentAll(const Client &client) const;

public:
    HostileCrowd(const HostileCase &hostileCase, Endpoint server);
    ~HostileCrowd();
    HostileCrowd(const HostileCrowd &) = delete;
    HostileCrowd &operator=(const HostileCrowd &) = delete;

    /** Connects, writes and reads without blocking; called every 5 ms. */
    void step();
    /** Returns whether each client has sent its bytes or has used up its connections. */
    bool isDone() const;
    std::size_t sentBytes() const;
    std::size_t connections() const { return m_connections; }
};

} // namespace jacinthshift

#endif // TESTS_HOSTILE_HOSTILE_CROWD_H
