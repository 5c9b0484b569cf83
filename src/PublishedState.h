/// The documents that the platform publishes, as this process has adopted them: the configuration and the list of live
/// VMs. A document replaces only one of a lower generation, so that a faulty service or a lagging peer can't make a process
/// go back to an older document.
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

/// Where a document came from: the configuration service or another process.
enum class DocumentSource : uint8_t { Service,
    Peer };

/// Number of hexadecimal digest digits that distinguish documents of one generation.
constexpr size_t versionDigestLength = 16;

/// Identity of a published document.
struct DocumentVersion {
    Generation generation = 0; ///< Zero when there is no document.
    std::string digest; ///< The first versionDigestLength hexadecimal digits of the SHA-256 of the document's text.
};

/// A document in the text that the platform published.
struct PublishedDocument {
    DocumentKind kind = DocumentKind::Configuration;
    Generation generation = 0; ///< Zero when there is no document yet.
    std::string digest; ///< The digest as in DocumentVersion.
    std::string text;
};

/// The result of offering a document for adoption.
enum class AdoptionResult : uint8_t {
    Adopted, ///< The document is now in force.
    AlreadyHeld, ///< The document in force has the same generation and the same bytes.
    Older, ///< The document in force has a higher generation.
    Conflicting, ///< The document in force has the same generation and other bytes.
    Invalid, ///< The document does not parse; the one in force stays.
    AlreadyRejected, ///< The same bytes were found invalid before.
    Implausible, ///< The generation is out of bounds, or is a jump that no second read has confirmed.
};

/// The state on which the adoption of an offered document depends.
struct AdoptionState {
    DocumentVersion held; ///< The version in force.
    DocumentVersion rejected; ///< The last version that was found invalid.
    Generation unconfirmedJump = 0; ///< A generation far above the one in force that has been read once.
    TimePoint jumpReadAt {}; ///< When unconfirmedJump was first read.
};

/// Highest generation that is accepted. It is higher than any real generation, so a higher one is an error of the sender.
constexpr Generation maxGeneration = Generation(1) << 48;
/// A larger step from one generation to the next must be confirmed by a second read of the service.
constexpr Generation maxGenerationStep = Generation(1) << 32;
/// Minimum time between the two reads that confirm a larger step.
constexpr Milliseconds jumpConfirmationDelay { 1000 };

/// Decides on an offered document before its text is parsed. Adopted means that the document is adopted if it parses. A
/// peer's document needs no second read, since the peer has already made it. Records an unconfirmed jump in the state.
/// Thread safe, but calls with the same state must be serialized by the caller.
AdoptionResult evaluateOffer(AdoptionState&, const DocumentVersion& offered, DocumentSource, TimePoint now);

/// Returns whether a version that a peer holds is worth fetching: a generation above the one in force and not above
/// maxGeneration that was not rejected before. Thread safe.
bool isFetchCandidate(const AdoptionState&, const DocumentVersion& offered);

/// Returns the version of a document's text. Thread safe.
DocumentVersion makeVersion(Generation, const std::string& text);

/// Return the names for logs and metrics; the one of a document kind is also its key in the configuration service.
/// Thread safe.
std::string_view toText(AdoptionResult);
std::string_view toText(DocumentKind);
std::string_view toText(DocumentSource);

/// Holds each document in the highest generation that was offered and parsed. Thread safe.
class PublishedState {
public:
    /// Blocks while another document is being offered. Adopts a document of a higher generation if it parses; never
    /// replaces one by a lower generation. Sets `error` to the reason when the result is Invalid.
    AdoptionResult offerDocument(DocumentKind, Generation, const std::string& text, DocumentSource, std::string& error);

    /// Makes the documents visible to the parts that act on them. Until then these see no configuration and no live list.
    void activate();
    bool isActivated() const { return this->activated; }

    /// Returns the configuration in force; null until one was adopted and activate() was called.
    ConfigurationPointer configuration() const;
    /// Returns the live list in force; null until one was adopted and activate() was called.
    LiveListPointer liveList() const;
    /// Returns the configuration even before activate(). It may be used to find peers, but not to act on it.
    ConfigurationPointer heldConfiguration() const;
    /// Returns the document held, with its unchanged text, to be sent to a peer.
    PublishedDocument document(DocumentKind) const;
    Generation generation(DocumentKind) const;
    DocumentVersion version(DocumentKind) const;
    /// Returns whether a version that a peer holds is worth fetching; see isFetchCandidate().
    bool shouldFetch(DocumentKind, const DocumentVersion&) const;
    /// Returns the highest generation seen: that of the document held, or that of an invalid document above it.
    Generation highestSeenGeneration(DocumentKind) const;

private:
    std::mutex offerMutex; ///< Serializes offers; locked before `mutex`.
    mutable std::mutex mutex; ///< Guards the members below.
    std::atomic<bool> activated { false };
    ConfigurationPointer currentConfiguration;
    LiveListPointer currentLiveList;
    AdoptionState states[documentKindCount];
    std::string texts[documentKindCount];
};

} // namespace bilberry
