#include "FleetDigest.h"

#include <absl/strings/escaping.h>
#include <algorithm>

namespace bilberry {

static constexpr size_t entryBytes = 4;
// Number of different versions: all 16-bit values except zero.
static constexpr uint64_t versionRange = UINT16_MAX;

uint16_t digestVersion(const VmStatus& status)
{
    // The multiplication hashes the incarnation (Fibonacci hashing). Adding the sequence number makes the versions of
    // consecutive reports differ.
    uint64_t start = (status.incarnation * 0x9E3779B97F4A7C15ULL) >> 48;
    return static_cast<uint16_t>((start + status.sequence % versionRange) % versionRange + 1);
}

DigestEntry makeDigestEntry(const FleetRow& row, TimePoint now)
{
    auto age = std::max(std::chrono::duration_cast<Milliseconds>(now - row.reportedAt), Milliseconds(0));
    auto units = (age.count() + digestAgeUnit.count() - 1) / digestAgeUnit.count();
    DigestEntry entry;
    entry.version = digestVersion(row.status);
    entry.ageUnits = static_cast<uint8_t>(std::min<int64_t>(units, maxAgeUnits));
    entry.inProgress = static_cast<uint8_t>(std::min<uint32_t>(row.status.requestsInProgress, UINT8_MAX));
    return entry;
}

std::string packDigest(const std::vector<DigestEntry>& entries)
{
    std::string bytes;
    bytes.reserve(entries.size() * entryBytes);
    for (const auto& entry : entries) {
        bytes += static_cast<char>(entry.version >> 8);
        bytes += static_cast<char>(entry.version & 0xFF);
        bytes += static_cast<char>(entry.ageUnits);
        bytes += static_cast<char>(entry.inProgress);
    }
    return absl::Base64Escape(bytes);
}

std::optional<std::vector<DigestEntry>> unpackDigest(std::string_view text, size_t count)
{
    std::string bytes;
    if (!absl::Base64Unescape(absl::string_view(text.data(), text.size()), &bytes) || bytes.size() != count * entryBytes)
        return std::nullopt;
    std::vector<DigestEntry> entries(count);
    auto byteAt = [&](size_t position) { return static_cast<uint8_t>(bytes[position]); };
    for (size_t i = 0; i < count; ++i) {
        size_t at = i * entryBytes;
        entries[i].version = static_cast<uint16_t>(byteAt(at) << 8 | byteAt(at + 1));
        entries[i].ageUnits = byteAt(at + 2);
        entries[i].inProgress = byteAt(at + 3);
    }
    return entries;
}

std::vector<size_t> findDifferences(const std::vector<DigestEntry>& own, const std::vector<DigestEntry>& other, size_t firstPosition, size_t limit)
{
    std::vector<size_t> positions;
    for (size_t i = 0; i < own.size() && positions.size() < limit; ++i) {
        size_t position = (firstPosition + i) % own.size();
        if (own[position].version != 0 && own[position].version != other[position].version)
            positions.push_back(position);
    }
    return positions;
}

} // namespace bilberry
