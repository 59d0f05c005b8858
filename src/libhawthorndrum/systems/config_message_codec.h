/// CBOR form of the peer messages about the configuration.
#pragma once

#include "base/error.h"
#include "ports/peer_message.h"
#include "tables/config_message.h"

namespace hawthorndrum {

inline constexpr std::size_t kMaxPartsPerRequest = 32;
inline constexpr std::size_t kMaxLaggingListed = 8;

peer_message EncodeMessage(const config_announcement& message);
peer_message EncodeMessage(const config_request& message);
peer_message EncodeMessage(const config_part_message& message);
peer_message EncodeMessage(const config_status& message);

/** Each checks every field and fails unless the message is complete and of its kind. */
expected<config_announcement> DecodeAnnouncement(const peer_message& message);
expected<config_request> DecodeRequest(const peer_message& message);
expected<config_part_message> DecodePart(const peer_message& message);
expected<config_status> DecodeStatus(const peer_message& message);

}  // namespace hawthorndrum
