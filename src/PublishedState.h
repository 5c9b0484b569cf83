/// What the platform publishes, as this process has adopted it: the configuration and the list of live VMs.
#pragma once

#include "Configuration.h"
#include "LiveList.h"

#include <absl/status/status.h>
#include <atomic>
#include <mutex>
#include <string>

namespace bilberry {

/// The published documents.
enum class DocumentKind : uint8_t { Configuration = 0,
    LiveList = 1 };
constexpr int documentKindCount = 2;

/// Who gave a document.
enum class DocumentSource : uint8_t { Service,
    Peer };

/// Digits that tell documents of one generation apart.
constexpr size_t versionDigestLength = 16;

/// Identity of a published document.
struct DocumentVersion {
    Generation generation = 0; ///< Zero: there is none.
    std::string digest; ///< First versionDigestLength digits of the text's SHA-256, hex.
};

/// A document as the platform gave it.
struct PublishedDocument {
    DocumentKind kind = DocumentKind::Configuration;
    Generation generation = 0; ///< Zero: there is none yet.
    std::string digest; ///< As in DocumentVersion.
    std::string text;
};

/// What became of an offered document.
enum class AdoptionResult : uint8_t {
    Adopted,
    AlreadyHeld, ///< Same generation, same bytes.
    Older, ///< A lower generation than the one in force.
    Conflicting, ///< The same generation with other bytes.
    Invalid, ///< It does not parse; the one in force stays.
    AlreadyRejected, ///< The same bytes were found invalid before.
    Implausible, ///< The generation is out of bounds, or is a jump that no second read has confirmed.
};

/// What decides whether an offered document is adopted.
struct AdoptionState {
    DocumentVersion held;
    DocumentVersion rejected; ///< The last invalid one.
    Generation unconfirmedJump = 0; ///< A generation far above the one in force that was read once.
    TimePoint jumpReadAt {};
};

/// No platform counts so far; a higher generation is a fault of the sender.
constexpr Generation maxGeneration = Generation(1) << 48;
/// A larger step from one generation to the next needs a second read of the service.
constexpr Generation maxGenerationStep = Generation(1) << 32;
/// Least time between the two reads that confirm a larger step.
constexpr Milliseconds jumpConfirmationDelay { 1000 };

/// Decides on an offer before its text is parsed; Adopted means that it is adopted when it parses. A peer's document
/// needs no second read, since the peer made it. Notes an unconfirmed jump in the state. Thread safe by itself.
AdoptionResult evaluateOffer(AdoptionState&, const DocumentVersion& offered, DocumentSource, TimePoint now);

/// Whether a version that a peer holds is worth fetching. Thread safe.
bool isFetchCandidate(const AdoptionState&, const DocumentVersion& offered);

/// The version of a text. Thread safe.
DocumentVersion makeVersion(Generation, const std::string& text);

/// Names for logs and metrics. Thread safe.
std::string_view toText(AdoptionResult);
std::string_view toText(DocumentKind);
std::string_view toText(DocumentSource);

/// Holds the highest generation seen of each document. Thread safe.
class PublishedState {
public:
    /// Takes over a document of a higher generation that parses; never goes back. `error` says why one is Invalid.
    AdoptionResult offerDocument(DocumentKind, Generation, const std::string& text, DocumentSource, std::string& error);

    /// Shows what is held to the parts that act on it; until then they see no configuration and no live list.
    void activate();
    bool isActivated() const { return this->activated; }

    /// Null until one was adopted and released.
    ConfigurationPointer configuration() const;
    /// Null until one was adopted and released.
    LiveListPointer liveList() const;
    /// The same without regard to release(): only for finding peers, never for acting.
    ConfigurationPointer heldConfiguration() const;
    /// The document held, to be passed on unchanged.
    PublishedDocument document(DocumentKind) const;
    Generation generation(DocumentKind) const;
    DocumentVersion version(DocumentKind) const;
    /// Whether a version that a peer holds is worth fetching.
    bool shouldFetch(DocumentKind, const DocumentVersion&) const;
    /// The highest generation seen: the one held, or that of an invalid document above it.
    Generation highestSeenGeneration(DocumentKind) const;

private:
    std::mutex offerMutex; ///< One offer at a time; taken before `mutex`.
    mutable std::mutex mutex; ///< Guards the members below.
    std::atomic<bool> activated { false };
    ConfigurationPointer currentConfiguration;
    LiveListPointer currentLiveList;
    AdoptionState states[documentKindCount];
    std::string texts[documentKindCount];
};

} // namespace bilberry
