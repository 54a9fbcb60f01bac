#ifndef CORE_ENDPOINT_H
#define CORE_ENDPOINT_H

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace jacinthshift {

/** An IP address and a port. Host names are not resolved. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool isValid() const { return !address.empty() && port != 0; }
    std::string text() const { return address + ":" + std::to_string(port); }
    auto operator<=>(const Endpoint &) const = default;
};

/** Parses "IP:PORT". Fails with InvalidArgument if the address or the port is invalid. */
absl::StatusOr<Endpoint> parseEndpoint(std::string_view text);

} // namespace jacinthshift

#endif // CORE_ENDPOINT_H
