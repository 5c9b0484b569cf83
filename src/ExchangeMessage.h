/// The message that two processes exchange each round, as a struct and as text.
#pragma once

#include "FleetDigest.h"
#include "PublishedState.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// A report and how old it was when it was sent.
struct AgedStatus {
    VmStatus status;
    Milliseconds age { 0 };
};

struct ExchangeMessage {
    std::string vm; ///< The sender.
    DocumentVersion documents[documentKindCount]; ///< What it holds, by DocumentKind.
    std::string dataCentre; ///< The digest covers this data centre's VMs; empty: all VMs.
    uint64_t membersHash = 0; ///< Of the names that the digest covers, in order; zero: there is no digest.
    std::string digest; ///< Packed, see FleetDigest.h.
    std::vector<AgedStatus> rows;
};

/// Reports in one message at most.
constexpr size_t maxRowsPerMessage = 64;
/// Largest message of this kind, in bytes.
constexpr size_t maxExchangeBytes = size_t(1) << 20;

/// Hash of a list of names, never zero. Thread safe.
uint64_t hashMembers(const std::vector<std::string>& names);

std::string toText(const ExchangeMessage&);
/// Nothing when the text is malformed, or larger or holds more than a message may. Thread safe.
std::optional<ExchangeMessage> parseExchange(std::string_view text);

/// Tells a peer of a document that was just adopted.
struct Announcement {
    std::string vm; ///< The sender.
    DocumentKind kind = DocumentKind::Configuration;
    DocumentVersion document;
};

std::string toText(const Announcement&);
/// Nothing when the text is malformed. Thread safe.
std::optional<Announcement> parseAnnouncement(std::string_view text);

} // namespace bilberry
