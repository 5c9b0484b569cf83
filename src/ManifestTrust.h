/// Decides when an agent stops to believe the manifest that it holds. A piece whose digest differs from the manifest is either
/// spoilt itself or right beside a wrong digest: copies that were spoilt on their way differ from each other, while a wrong digest
/// contradicts the same bytes again and again, whatever source they come from. Peers verify what they send, so that one of theirs is
/// evidence at once. Pure functions over plain data.
#pragma once

#include "Types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bilberry {

/// What arrived against one digest of the manifest.
struct PieceEvidence {
    std::string lastDigest; ///< Digest of the last wrong piece; empty if there was none.
    uint32_t wrongCount = 0; ///< Number of wrong pieces against this digest.
};

/// Used by one thread at a time.
struct ManifestTrust {
    std::vector<PieceEvidence> pieces; ///< By piece.
    bool isDoubted = false; ///< Whether the manifest is to be fetched anew.
    uint32_t doubtCount = 0; ///< Number of times that this version's manifest was doubted.
    TimePoint nextDoubtAt {}; ///< Earliest time at which it may be doubted again.
};

/// Starts with no evidence, for a version with so many pieces.
ManifestTrust makeManifestTrust(size_t pieceCount);
/// A piece that contradicts its digest.
struct WrongPiece {
    uint32_t piece = 0;
    std::string digest; ///< That of the received bytes.
    bool isFromPeer = false;
};

/// Records a wrong piece. The manifest is doubted after one from a peer, two equal ones or a few different ones, but each time later
/// than the last, so that an origin that goes on sending wrong manifests is asked at a bounded rate. Precondition: the piece is one
/// of the manifest.
void noteWrongPiece(ManifestTrust&, const WrongPiece&, TimePoint now);
/// Ends the doubt: another manifest was taken over, or the origin has confirmed this one.
void endDoubt(ManifestTrust&);
/// How long to wait before a piece is fetched again that was wrong so often; `delay` is the shortest time. Precondition: `piece` is
/// one of the manifest. Thread safe.
Milliseconds retryDelayAfterWrongPieces(const ManifestTrust&, uint32_t piece, Milliseconds delay);

} // namespace bilberry
