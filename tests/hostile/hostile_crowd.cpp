#include "tests/hostile/hostile_crowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <numeric>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jacinthshift {

namespace {

/** Small, so that unread responses stay in the node and not in the kernel. */
constexpr int ReceiveBufferBytes = 4 * 1024;
constexpr std::size_t MaxStepBytes = 64 * 1024;

std::string withCounter(std::string text, std::size_t counter)
{
    std::string digits = std::to_string(counter % 100'000'000);
    digits.insert(0, CounterText.size() - digits.size(), '0');
    for (std::size_t at = text.find(CounterText); at != std::string::npos;
         at = text.find(CounterText, at))
        text.replace(at, digits.size(), digits);
    return text;
}

} // namespace

HostileCrowd::HostileCrowd(const HostileCase &hostileCase, Endpoint server)
    : m_case(hostileCase), m_server(std::move(server)), m_clients(hostileCase.clients)
{
    for (std::size_t i = 0; i < m_clients.size(); ++i)
        m_clients[i].number = i;
}

HostileCrowd::~HostileCrowd()
{
    for (Client &client : m_clients)
        disconnect(client);
}

void HostileCrowd::connect(Client &client)
{
    if (client.opened > m_case.reconnects) {
        client.hasEnded = true;
        return;
    }
    client.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (client.descriptor < 0) {
        client.hasEnded = true;
        return;
    }
    setsockopt(client.descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof ReceiveBufferBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_server.port);
    inet_pton(AF_INET, m_server.address.c_str(), &address.sin_addr);
    client.offset = 0;
    ++client.opened;
    ++m_connections;
    if (::connect(client.descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                != 0
        && errno != EINPROGRESS)
        disconnect(client);
}

void HostileCrowd::disconnect(Client &client) const
{
    if (client.descriptor >= 0)
        close(client.descriptor);
    client.descriptor = -1;
}

std::string HostileCrowd::nextBytes(const Client &client, std::size_t wanted) const
{
    const std::size_t connection = client.number * (m_case.reconnects + 1) + client.opened;
    std::string bytes;
    if (client.offset < m_case.opening.size())
        bytes = withCounter(m_case.opening, connection).substr(client.offset);
    if (m_case.repeated.empty())
        return bytes;
    // Continues within the repeated text where the previous write ended.
    const std::size_t done = client.offset + bytes.size() - m_case.opening.size();
    std::size_t repetition = done / m_case.repeated.size();
    std::size_t position = done % m_case.repeated.size();
    while (bytes.size() < wanted) {
        bytes += withCounter(m_case.repeated, connection * 10'000 + repetition).substr(position);
        ++repetition;
        position = 0;
    }
    return bytes;
}

void HostileCrowd::reset(Client &client) const
{
    const linger atOnce{.l_onoff = 1, .l_linger = 0};
    setsockopt(client.descriptor, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    disconnect(client);
}

void HostileCrowd::write(Client &client)
{
    if (hasSentAll(client))
        return;
    std::string bytes = nextBytes(client, m_case.writeBytes);
    const std::size_t wanted =
            std::max(m_case.opening.size() - std::min(m_case.opening.size(), client.offset),
                     m_case.writeBytes);
    bytes.resize(std::min({bytes.size(), wanted, m_case.maxBytes - client.sent}));
    const ssize_t written =
            send(client.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written >= 0) {
        client.offset += static_cast<std::size_t>(written);
        client.sent += static_cast<std::size_t>(written);
        if (m_case.resets && client.offset >= m_case.opening.size())
            reset(client);
    } else if (errno != EAGAIN && errno != ENOTCONN) {
        disconnect(client);
    }
}

void HostileCrowd::read(Client &client) const
{
    std::array<char, MaxStepBytes> buffer;
    if (m_case.readBytes == 0)
        return;
    const ssize_t received = recv(client.descriptor, buffer.data(),
                                  std::min(buffer.size(), m_case.readBytes), MSG_DONTWAIT);
    if (received == 0 || (received < 0 && errno != EAGAIN && errno != ENOTCONN))
        disconnect(client);
}

bool HostileCrowd::hasSentAll(const Client &client) const
{
    return client.sent >= m_case.maxBytes
           || (m_case.repeated.empty() && !m_case.resets && client.offset >= m_case.opening.size());
}

void HostileCrowd::step()
{
    const std::size_t started =
            m_case.startSteps == 0 ? m_clients.size() : m_steps++ / m_case.startSteps + 1;
    for (std::size_t i = 0; i < std::min(started, m_clients.size()); ++i) {
        Client &client = m_clients[i];
        if (client.hasEnded)
            continue;
        if (client.descriptor < 0)
            connect(client);
        if (client.descriptor >= 0)
            write(client);
        if (client.descriptor >= 0)
            read(client);
    }
}

bool HostileCrowd::isDone() const
{
    return std::all_of(m_clients.begin(), m_clients.end(), [this](const Client &client) {
        return client.hasEnded || (client.opened > 0 && hasSentAll(client));
    });
}

std::size_t HostileCrowd::sentBytes() const
{
    return std::accumulate(m_clients.begin(), m_clients.end(), std::size_t(0),
                           [](std::size_t sum, const Client &client) { return sum + client.sent; });
}

} // namespace jacinthshift
