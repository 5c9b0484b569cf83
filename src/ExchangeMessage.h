/// The messages of gossip between processes, as structs and in their JSON encoding.
#pragma once

#include "FleetDigest.h"
#include "PublishedState.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// A report and its age when it was sent.
struct AgedStatus {
    VmStatus status;
    Milliseconds age { 0 };
};

/// The request and the reply of the JSON-RPC method `exchange`, and the request of `report`.
struct ExchangeMessage {
    std::string vm; ///< Name of the sender's VM.
    DocumentVersion documents[documentKindCount]; ///< The versions that the sender holds, by DocumentKind.
    std::string dataCentre; ///< The data centre whose VMs the digest covers; empty when it covers all VMs.
    uint64_t coveredVmsHash = 0; ///< Hash of the names that the digest covers, in order; zero when there is no digest.
    std::string digest; ///< The digest as packDigest() encodes it.
    std::vector<AgedStatus> rows; ///< Reports that the receiver may lack.
};

/// Largest number of reports in one message.
constexpr size_t maxRowsPerMessage = 64;
/// Largest message, in bytes.
constexpr size_t maxExchangeBytes = size_t(1) << 20;

/// Returns a hash of a list of names; never zero. Thread safe.
uint64_t hashNames(const std::vector<std::string>& names);

/// Encodes the message as JSON. Thread safe.
std::string toText(const ExchangeMessage&);
/// Parses a message. Returns nothing if the text is malformed, larger than maxExchangeBytes or has a value out of bounds.
/// Thread safe.
std::optional<ExchangeMessage> parseExchange(std::string_view text);

/// The request of the JSON-RPC method `announce`, which tells a peer of a document that was just adopted.
struct Announcement {
    std::string vm; ///< Name of the sender's VM.
    DocumentKind kind = DocumentKind::Configuration;
    DocumentVersion document;
};

/// Encodes the announcement as JSON. Thread safe.
std::string toText(const Announcement&);
/// Parses an announcement. Returns nothing if the text is malformed, too large or has a value out of bounds. Thread safe.
std::optional<Announcement> parseAnnouncement(std::string_view text);

} // namespace bilberry
