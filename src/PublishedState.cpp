#include "PublishedState.h"

#include "Digest.h"

#include <algorithm>

namespace bilberry {

std::string_view toText(Adoption adoption)
{
    switch (adoption) {
    case Adoption::Adopted:
        return "adopted";
    case Adoption::AlreadyHeld:
        return "already-held";
    case Adoption::Older:
        return "older";
    case Adoption::Conflicting:
        return "conflicting";
    case Adoption::Invalid:
        return "invalid";
    case Adoption::AlreadyRejected:
        return "already-rejected";
    case Adoption::Implausible:
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

static bool isSame(const DocumentVersion& first, const DocumentVersion& second)
{
    return first.generation == second.generation && first.digest == second.digest;
}

// Whether the step needs a second read; notes the first one.
static bool isUnconfirmedJump(AdoptionState& state, Generation offered, TimePoint now)
{
    if (offered - state.held.generation <= maxGenerationStep)
        return false;
    if (offered == state.jump)
        return now - state.jumpReadAt < jumpConfirmation;
    state.jump = offered;
    state.jumpReadAt = now;
    return true;
}

Adoption judgeOffer(AdoptionState& state, const DocumentVersion& offered, DocumentSource source, TimePoint now)
{
    if (offered.generation == 0 || offered.generation > maxGeneration)
        return Adoption::Implausible;
    if (offered.generation < state.held.generation)
        return Adoption::Older;
    if (offered.generation == state.held.generation)
        return offered.digest == state.held.digest ? Adoption::AlreadyHeld : Adoption::Conflicting;
    if (isSame(offered, state.rejected))
        return Adoption::AlreadyRejected;
    if (source == DocumentSource::Service && isUnconfirmedJump(state, offered.generation, now))
        return Adoption::Implausible;
    return Adoption::Adopted;
}

bool isWanted(const AdoptionState& state, const DocumentVersion& offered)
{
    return offered.generation > state.held.generation && offered.generation <= maxGeneration && !isSame(offered, state.rejected);
}

Adoption PublishedState::offer(DocumentKind kind, Generation generation, const std::string& text, DocumentSource source, std::string& error)
{
    // Parsing a large document takes long, so readers are locked out only while the result is put in place.
    std::lock_guard<std::mutex> offerLock(this->offerMutex);
    DocumentVersion offered = makeVersion(generation, text);
    AdoptionState& state = this->states[static_cast<int>(kind)];
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        auto adoption = judgeOffer(state, offered, source, Clock::now());
        if (adoption != Adoption::Adopted)
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
        return Adoption::Invalid;
    }
    if (configuration)
        this->currentConfiguration = std::move(configuration);
    else
        this->currentLiveList = std::move(list);
    state.held = std::move(offered);
    this->texts[static_cast<int>(kind)] = text;
    return Adoption::Adopted;
}

void PublishedState::release()
{
    this->released = true;
}

ConfigurationPointer PublishedState::configuration() const
{
    return this->released ? this->heldConfiguration() : nullptr;
}

LiveListPointer PublishedState::liveList() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->released ? this->currentLiveList : nullptr;
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

bool PublishedState::wants(DocumentKind kind, const DocumentVersion& offered) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return isWanted(this->states[static_cast<int>(kind)], offered);
}

Generation PublishedState::seenGeneration(DocumentKind kind) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const AdoptionState& state = this->states[static_cast<int>(kind)];
    return std::max(state.held.generation, state.rejected.generation);
}

} // namespace bilberry
