/// The JSON of the messages between key owners and voters.
#pragma once

#include "KeyLease.h"

#include <optional>
#include <string>

namespace bilberry {

/// Parameters of the JSON-RPC method `key_lease`. Thread safe, as are all functions here.
std::string formatLeaseRequest(const LeaseRequest&);

/// Nothing when the text is no request.
std::optional<LeaseRequest> parseLeaseRequest(const std::string& text);

/// Result of the JSON-RPC method `key_lease`.
std::string formatLeaseReply(const LeaseReply&);

/// Nothing when the text is no reply, or names a slot that does not exist.
std::optional<LeaseReply> parseLeaseReply(const std::string& text);

} // namespace bilberry
