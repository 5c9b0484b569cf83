#include "Activation.h"

#include <algorithm>

namespace bilberry {

static const EngineModel* findReadyModel(const ObservedEngineState& readBack, const std::string& model)
{
    for (const auto& loaded : readBack.models) {
        if (loaded.model == model && loaded.isReady)
            return &loaded;
    }
    return nullptr;
}

// Whether the engine says that it loaded other bytes than those of the version.
static bool hasMismatchedContent(const EngineModel& loaded, const WeightVersion& version)
{
    bool isKnown = loaded.digest == version.manifest.digest && isComplete(version) && !loaded.contentSha256.empty();
    return isKnown && loaded.contentSha256 != version.contentSha256;
}

// Whether the engine has what it says: it states the digest of its bytes, or what it serves is what this process had it
// load, and no order with another number came after.
static bool hasTrustedContent(const EngineModel& loaded, const WeightRow* row)
{
    if (!loaded.contentSha256.empty())
        return true;
    bool isOwnLoad = row && !loaded.digest.empty() && row->lastLoad.digest == loaded.digest;
    return isOwnLoad && (loaded.fencingToken == 0 || loaded.fencingToken == row->lastLoad.fencingToken);
}

static const WeightVersion* chooseVersionToLoad(const WeightRow& row, bool servesAny)
{
    if (isComplete(row.wanted))
        return &row.wanted;
    if (!servesAny && isComplete(row.previous))
        return &row.previous;
    return nullptr;
}

EngineOrder chooseEngineOrder(const WeightRow& row, const ObservedEngineState& readBack, TimePoint wokenAt, TimePoint now)
{
    if (now - readBack.requestSentAt > maxEngineStateAge || readBack.requestSentAt < wokenAt || now < row.nextOrderAt)
        return {};
    const EngineModel* ready = findReadyModel(readBack, row.model);
    if (ready && row.confirmedAt < wokenAt)
        return {};
    if (ready && (hasMismatchedContent(*ready, row.wanted) || hasMismatchedContent(*ready, row.previous)))
        return { OrderKind::Unload, ready->digest };
    bool isServing = ready && hasTrustedContent(*ready, &row);
    const WeightVersion* version = chooseVersionToLoad(row, isServing);
    if (!version || (isServing && ready->digest == version->manifest.digest))
        return {};
    return { OrderKind::Load, version->manifest.digest };
}

std::optional<std::string> findServedDigest(const std::vector<WeightRow>& rows, const ObservedEngineState& readBack, const std::string& model, TimePoint now)
{
    if (now - readBack.requestSentAt > maxEngineStateAge)
        return std::nullopt;
    const EngineModel* ready = findReadyModel(readBack, model);
    if (!ready)
        return std::nullopt;
    const WeightRow* row = findWeightRow(rows, model);
    if (!hasTrustedContent(*ready, row))
        return std::nullopt;
    if (row && (hasMismatchedContent(*ready, row->wanted) || hasMismatchedContent(*ready, row->previous)))
        return std::nullopt;
    return ready->digest;
}

uint64_t nextFencingToken(uint64_t lastOwn, const ObservedEngineState& readBack)
{
    uint64_t highest = lastOwn;
    for (const auto& model : readBack.models)
        highest = std::max(highest, model.fencingToken);
    return highest + 1;
}

uint64_t raiseFencingToken(uint64_t refused)
{
    return refused * 2;
}

} // namespace bilberry
