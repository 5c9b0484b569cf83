#include "PublishedState.h"

#include "Digest.h"

#include <algorithm>

namespace bilberry {

std::string_view toText(AdoptionResult adoption)
{
    switch (adoption) {
    case AdoptionResult::Adopted:
        return "adopted";
    case AdoptionResult::AlreadyHeld:
        return "already-held";
    case AdoptionResult::Older:
        return "older";
    case AdoptionResult::Conflicting:
        return "conflicting";
    case AdoptionResult::Invalid:
        return "invalid";
    case AdoptionResult::AlreadyRejected:
        return "already-rejected";
    case AdoptionResult::Implausible:
        return "implausible";
    }
    return "invalid";
}

std::string_view toText(DocumentKind kind)
{
    return kind == DocumentKind::Configuration ? "configuration" : "live";
}

std::string_view toText(DocumentSource source)
{
    return source == DocumentSource::Service ? "service" : "peer";
}

DocumentVersion makeVersion(Generation generation, const std::string& text)
{
    return { generation, sha256Hex(text).substr(0, versionDigestLength) };
}

static bool isSameVersion(const DocumentVersion& first, const DocumentVersion& second)
{
    return first.generation == second.generation && first.digest == second.digest;
}

// Returns whether the step to the offered generation still needs a second read; records the first one.
static bool isUnconfirmedJump(AdoptionState& state, Generation offered, TimePoint now)
{
    if (offered - state.held.generation <= maxGenerationStep)
        return false;
    if (offered == state.unconfirmedJump)
        return now - state.jumpReadAt < jumpConfirmationDelay;
    state.unconfirmedJump = offered;
    state.jumpReadAt = now;
    return true;
}

AdoptionResult evaluateOffer(AdoptionState& state, const DocumentVersion& offered, DocumentSource source, TimePoint now)
{
    if (offered.generation == 0 || offered.generation > maxGeneration)
        return AdoptionResult::Implausible;
    if (offered.generation < state.held.generation)
        return AdoptionResult::Older;
    if (offered.generation == state.held.generation)
        return offered.digest == state.held.digest ? AdoptionResult::AlreadyHeld : AdoptionResult::Conflicting;
    if (isSameVersion(offered, state.rejected))
        return AdoptionResult::AlreadyRejected;
    if (source == DocumentSource::Service && isUnconfirmedJump(state, offered.generation, now))
        return AdoptionResult::Implausible;
    return AdoptionResult::Adopted;
}

bool isFetchCandidate(const AdoptionState& state, const DocumentVersion& offered)
{
    return offered.generation > state.held.generation && offered.generation <= maxGeneration && !isSameVersion(offered, state.rejected);
}

AdoptionResult PublishedState::offerDocument(DocumentKind kind, Generation generation, const std::string& text, DocumentSource source, std::string& error)
{
    // Parsing a large document takes long, so `mutex` is held only to check the offer and to store the result.
    std::lock_guard<std::mutex> offerLock(this->offerMutex);
    DocumentVersion offered = makeVersion(generation, text);
    AdoptionState& state = this->states[static_cast<int>(kind)];
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        auto adoption = evaluateOffer(state, offered, source, Clock::now());
        if (adoption != AdoptionResult::Adopted)
            return adoption;
    }
    ConfigurationPointer configuration;
    LiveListPointer list;
    if (kind == DocumentKind::Configuration) {
        auto parsed = parseConfiguration(text, generation);
        if (parsed.ok())
            configuration = std::make_shared<const Configuration>(std::move(*parsed));
        else
            error = std::string(parsed.status().message());
    } else {
        auto parsed = parseLiveList(text, generation);
        if (parsed.ok())
            list = std::make_shared<const LiveList>(std::move(*parsed));
        else
            error = std::string(parsed.status().message());
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!configuration && !list) {
        state.rejected = std::move(offered);
        return AdoptionResult::Invalid;
    }
    if (configuration)
        this->currentConfiguration = std::move(configuration);
    else
        this->currentLiveList = std::move(list);
    state.held = std::move(offered);
    this->texts[static_cast<int>(kind)] = text;
    return AdoptionResult::Adopted;
}

void PublishedState::activate()
{
    this->activated = true;
}

ConfigurationPointer PublishedState::configuration() const
{
    return this->activated ? this->heldConfiguration() : nullptr;
}

LiveListPointer PublishedState::liveList() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->activated ? this->currentLiveList : nullptr;
}

ConfigurationPointer PublishedState::heldConfiguration() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->currentConfiguration;
}

PublishedDocument PublishedState::document(DocumentKind kind) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const DocumentVersion& held = this->states[static_cast<int>(kind)].held;
    return { kind, held.generation, held.digest, this->texts[static_cast<int>(kind)] };
}

Generation PublishedState::generation(DocumentKind kind) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->states[static_cast<int>(kind)].held.generation;
}

DocumentVersion PublishedState::version(DocumentKind kind) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->states[static_cast<int>(kind)].held;
}

bool PublishedState::shouldFetch(DocumentKind kind, const DocumentVersion& offered) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return isFetchCandidate(this->states[static_cast<int>(kind)], offered);
}

Generation PublishedState::highestSeenGeneration(DocumentKind kind) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const AdoptionState& state = this->states[static_cast<int>(kind)];
    return std::max(state.held.generation, state.rejected.generation);
}

} // namespace bilberry
