#ifndef MODULES_FLEET_MESSAGE_CODEC_H
#define MODULES_FLEET_MESSAGE_CODEC_H

#include <string>

#include <absl/status/statusor.h>

#include "modules/fleet/messages.h"

namespace jacinthshift {

/** Encodes a message as a CBOR array of its type number and its fields. */
std::string encodeFleetMessage(const FleetMessage &message);

/** Decodes a message. Returns InvalidArgument for an unknown type number or malformed fields. */
absl::StatusOr<FleetMessage> decodeFleetMessage(const std::string &frame);

/** Encodes and compresses records for TableRecordsMessage. */
std::string packPage(const KeyedPage &page);

/** Reverses packPage(). Returns InvalidArgument for any other input. */
absl::StatusOr<KeyedPage> unpackPage(const std::string &packed);

} // namespace jacinthshift

#endif // MODULES_FLEET_MESSAGE_CODEC_H
