#include "PublishedState.h"

#include "Digest.h"

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
    }
    return "invalid";
}

std::string_view toText(DocumentKind kind)
{
    return kind == DocumentKind::Configuration ? "configuration" : "live";
}

Adoption PublishedState::offer(DocumentKind kind, Generation generation, const std::string& text, std::string& error)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    PublishedDocument& held = this->documents[static_cast<int>(kind)];
    if (generation < held.generation)
        return Adoption::Older;
    std::string digest = sha256Hex(text);
    if (generation == held.generation)
        return digest == held.digest ? Adoption::AlreadyHeld : Adoption::Conflicting;
    if (kind == DocumentKind::Configuration) {
        auto parsed = parseConfiguration(text, generation);
        if (!parsed.ok()) {
            error = std::string(parsed.status().message());
            return Adoption::Invalid;
        }
        this->currentConfiguration = std::make_shared<const Configuration>(std::move(*parsed));
    } else {
        auto parsed = parseLiveList(text, generation);
        if (!parsed.ok()) {
            error = std::string(parsed.status().message());
            return Adoption::Invalid;
        }
        this->currentLiveList = std::make_shared<const LiveList>(std::move(*parsed));
    }
    held = { kind, generation, std::move(digest), text };
    return Adoption::Adopted;
}

ConfigurationPointer PublishedState::configuration() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->currentConfiguration;
}

LiveListPointer PublishedState::liveList() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->currentLiveList;
}

PublishedDocument PublishedState::document(DocumentKind kind) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->documents[static_cast<int>(kind)];
}

Generation PublishedState::generation(DocumentKind kind) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->documents[static_cast<int>(kind)].generation;
}

} // namespace bilberry
