/// A compact digest of many VM reports, ordered by a list of VMs on which both sides of an exchange agree. It takes four
/// bytes per VM and shows which reports differ and how fresh the others are, so that an exchange sends only those that
/// differ.
#pragma once

#include "FleetTable.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// The part of a digest that describes one VM's report.
struct DigestEntry {
    uint16_t version = 0; ///< Version of the report's content (see digestVersion()); zero when there is no report.
    uint8_t ageUnits = 0; ///< Age of the report in units of digestAgeUnit, rounded up; maxAgeUnits means that age or more.
    uint8_t inProgress = 0; ///< Number of requests running on the VM; 255 means that many or more.
};

constexpr Milliseconds digestAgeUnit { 100 };
constexpr uint8_t maxAgeUnits = 255;

/// Returns the version of a report's content for a digest. It is never zero, and consecutive reports of one process have
/// different versions. Thread safe.
uint16_t digestVersion(const VmStatus&);
/// Returns the digest entry of a report whose age is taken at `now`. Thread safe.
DigestEntry makeDigestEntry(const FleetRow&, TimePoint now);

/// Encodes a digest as base64. Thread safe.
std::string packDigest(const std::vector<DigestEntry>&);
/// Decodes a digest. Returns nothing when the text is not a digest of exactly `count` VMs. Thread safe.
std::optional<std::vector<DigestEntry>> unpackDigest(std::string_view text, size_t count);

/// Returns the positions at which this side has a report and the other side has none or another version. The search begins
/// at `firstPosition`, wraps around at the end and stops after `limit` positions; varying it between calls lets the reports
/// of every VM be found. Precondition: both digests have the same length. Thread safe.
std::vector<size_t> findDifferences(const std::vector<DigestEntry>& own, const std::vector<DigestEntry>& other, size_t firstPosition, size_t limit);

} // namespace bilberry
