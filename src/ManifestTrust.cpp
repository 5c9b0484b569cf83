#include "ManifestTrust.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

// Number of wrong pieces for one digest after which the manifest is doubted although they differ from each other.
static constexpr uint32_t wrongPiecesToDoubt = 4;
// Time from one doubt to the next; it doubles each time up to the longest.
static constexpr Milliseconds shortestTrustTime { 500 };
static constexpr Milliseconds longestTrustTime { 4000 };
// Number of wrong pieces up to which a piece is fetched again after the shortest delay, and longest delay after more.
static constexpr uint32_t wrongPiecesBeforeBackoff = 2;
static constexpr Milliseconds longestRetryDelay { 2000 };

// Doubles a time so often, up to a limit.
static Milliseconds doubledTime(Milliseconds time, uint32_t doublings, Milliseconds longest)
{
    constexpr uint32_t mostDoublings = 10;
    return std::min(longest, time * (1 << std::min(doublings, mostDoublings)));
}

ManifestTrust makeManifestTrust(size_t pieceCount)
{
    ManifestTrust trust;
    trust.pieces.resize(pieceCount);
    return trust;
}

void noteWrongPiece(ManifestTrust& trust, const WrongPiece& wrong, TimePoint now)
{
    assert(wrong.piece < trust.pieces.size());
    auto& evidence = trust.pieces[wrong.piece];
    bool isRepeated = wrong.digest == evidence.lastDigest;
    evidence.lastDigest = wrong.digest;
    ++evidence.wrongCount;
    bool isWrongDigestLikely = wrong.isFromPeer || isRepeated || evidence.wrongCount % wrongPiecesToDoubt == 0;
    if (!isWrongDigestLikely || now < trust.nextDoubtAt)
        return;
    trust.isDoubted = true;
    trust.nextDoubtAt = now + doubledTime(shortestTrustTime, trust.doubtCount++, longestTrustTime);
}

void endDoubt(ManifestTrust& trust)
{
    trust.isDoubted = false;
}

Milliseconds retryDelayAfterWrongPieces(const ManifestTrust& trust, uint32_t piece, Milliseconds delay)
{
    assert(piece < trust.pieces.size());
    uint32_t count = trust.pieces[piece].wrongCount;
    return doubledTime(delay, count - std::min(count, wrongPiecesBeforeBackoff), longestRetryDelay);
}

} // namespace bilberry
