#ifndef MODULES_FLEET_MESSAGE_CODEC_H
#define MODULES_FLEET_MESSAGE_CODEC_H

#include <string>

#include <absl/status/statusor.h>

#include "modules/fleet/messages.h"

namespace jacinthshift {

/** Writes a message as one CBOR array of its number and its fields. */
std::string encodeFleetMessage(const FleetMessage &message);

/** Reads a message. Unknown numbers and wrong fields are InvalidArgument. */
absl::StatusOr<FleetMessage> decodeFleetMessage(const std::string &frame);

/** Packs records for TableNewsMessage. */
std::string packPage(const KeyedPage &page);

/** Undoes packPage(); anything else is InvalidArgument. */
absl::StatusOr<KeyedPage> unpackPage(const std::string &packed);

} // namespace jacinthshift

#endif // MODULES_FLEET_MESSAGE_CODEC_H
