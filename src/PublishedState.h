/// What the platform publishes, as this process has adopted it: the configuration and the list of live VMs.
#pragma once

#include "Configuration.h"
#include "LiveList.h"

#include <absl/status/status.h>
#include <mutex>
#include <string>

namespace bilberry {

/// The published documents.
enum class DocumentKind : uint8_t { Configuration = 0,
    LiveList = 1 };
constexpr int documentKindCount = 2;

/// A document as the platform gave it.
struct PublishedDocument {
    DocumentKind kind = DocumentKind::Configuration;
    Generation generation = 0; ///< Zero: there is none yet.
    std::string digest; ///< SHA-256 of the text, hex.
    std::string text;
};

/// What became of an offered document.
enum class Adoption : uint8_t {
    Adopted,
    AlreadyHeld, ///< Same generation, same bytes.
    Older, ///< A lower generation than the one in force.
    Conflicting, ///< The same generation with other bytes.
    Invalid, ///< It does not parse; the one in force stays.
};

/// Names for logs and metrics. Thread safe.
std::string_view toText(Adoption);
std::string_view toText(DocumentKind);

/// Holds the highest generation seen of each document. Thread safe.
class PublishedState {
public:
    /// Takes over a document of a higher generation that parses; never goes back. `error` says why one is Invalid.
    Adoption offer(DocumentKind, Generation, const std::string& text, std::string& error);

    /// Null until one was adopted.
    ConfigurationPointer configuration() const;
    /// Null until one was adopted.
    LiveListPointer liveList() const;
    /// The document in force, to be passed on unchanged.
    PublishedDocument document(DocumentKind) const;
    Generation generation(DocumentKind) const;

private:
    mutable std::mutex mutex;
    ConfigurationPointer currentConfiguration;
    LiveListPointer currentLiveList;
    PublishedDocument documents[documentKindCount];
};

} // namespace bilberry
