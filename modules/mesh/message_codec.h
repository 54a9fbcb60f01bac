#ifndef MODULES_MESH_MESSAGE_CODEC_H
#define MODULES_MESH_MESSAGE_CODEC_H

#include <string>

#include <absl/status/statusor.h>

#include "modules/mesh/messages.h"

namespace jacinthshift {

/** Encodes a message as one CBOR item: an array of the message's type number and its fields. */
std::string encodeMessage(const Message &message);

/** Decodes a message. Returns InvalidArgument if the frame is malformed. */
absl::StatusOr<Message> decodeMessage(const std::string &frame);

} // namespace jacinthshift

#endif // MODULES_MESH_MESSAGE_CODEC_H
