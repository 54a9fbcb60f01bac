#include "core/endpoint.h"

#include <gio/gio.h>

#include "core/text.h"

namespace jacinthshift {

absl::StatusOr<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return absl::InvalidArgumentError(joinText("'", text, "' is not IP:PORT"));
    const std::string address(text.substr(0, colon));
    if (!g_hostname_is_ip_address(address.c_str()))
        return absl::InvalidArgumentError(joinText("'", address, "' is not an IP address"));
    std::uint32_t port = 0;
    if (!parseNumber(text.substr(colon + 1), port) || port == 0 || port > 65535)
        return absl::InvalidArgumentError(joinText("'", text, "' has no port from 1 to 65535"));
    return Endpoint{.address = address, .port = static_cast<std::uint16_t>(port)};
}

} // namespace jacinthshift
