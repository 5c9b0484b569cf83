/// A short summary of many reports, by position in a list of VMs on which both sides agree: enough to see which reports
/// differ and how fresh the others are, at four bytes a VM.
#pragma once

#include "FleetTable.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// One VM's summary.
struct DigestEntry {
    uint16_t version = 0; ///< Of the report's content; zero when there is none.
    uint8_t ageUnits = 0; ///< Age of the report in digestAgeUnit, rounded up; the highest value means that or older.
    uint8_t inProgress = 0; ///< Requests running there, at most 255.
};

constexpr Milliseconds digestAgeUnit { 100 };
constexpr uint8_t maxAgeUnits = 255;

/// Never zero, and differs between consecutive reports of one process. Thread safe.
uint16_t digestVersion(const VmStatus&);
DigestEntry makeDigestEntry(const FleetRow&, TimePoint now);

/// As base64. Thread safe.
std::string packDigest(const std::vector<DigestEntry>&);
/// Nothing when the text is no digest of exactly `count` VMs. Thread safe.
std::optional<std::vector<DigestEntry>> unpackDigest(std::string_view text, size_t count);

/// Positions at which the own report is there and the other side's differs, at most `limit`, from `start` round the
/// list so that all get their turn. Precondition: both have one length. Thread safe.
std::vector<size_t> findDifferences(const std::vector<DigestEntry>& own, const std::vector<DigestEntry>& other, size_t start, size_t limit);

} // namespace bilberry
