#include "Activation.h"

#include <algorithm>

namespace bilberry {

static const EngineModel* findReadyModel(const ObservedEngineState& engineState, const std::string& model)
{
    for (const auto& loaded : engineState.models) {
        if (loaded.model == model && loaded.isReady)
            return &loaded;
    }
    return nullptr;
}

// Whether the engine reports the version's digest but another content digest than that of the version.
static bool hasMismatchedContent(const EngineModel& loaded, const WeightVersion& version)
{
    bool isKnown = loaded.digest == version.manifest.digest && isComplete(version) && !loaded.contentSha256.empty();
    return isKnown && loaded.contentSha256 != version.contentSha256;
}

// Whether the reported version can be relied upon: the engine reports a content digest, or it serves the version that this
// process last had it load and has seen no order with another fencing token since.
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

EngineOrder chooseEngineOrder(const WeightRow& row, const ObservedEngineState& engineState, TimePoint resumedAt, TimePoint now)
{
    if (now - engineState.requestSentAt > maxEngineStateAge || engineState.requestSentAt < resumedAt || now < row.nextOrderAt)
        return {};
    const EngineModel* ready = findReadyModel(engineState, row.model);
    if (ready && row.confirmedAt < resumedAt)
        return {};
    if (ready && (hasMismatchedContent(*ready, row.wanted) || hasMismatchedContent(*ready, row.previous)))
        return { OrderKind::Unload, ready->digest };
    bool isServing = ready && hasTrustedContent(*ready, &row);
    const WeightVersion* version = chooseVersionToLoad(row, isServing);
    if (!version || (isServing && ready->digest == version->manifest.digest))
        return {};
    return { OrderKind::Load, version->manifest.digest };
}

std::optional<std::string> findServedDigest(const std::vector<WeightRow>& rows, const ObservedEngineState& engineState, const std::string& model, TimePoint now)
{
    if (now - engineState.requestSentAt > maxEngineStateAge)
        return std::nullopt;
    const EngineModel* ready = findReadyModel(engineState, model);
    if (!ready)
        return std::nullopt;
    const WeightRow* row = findWeightRow(rows, model);
    if (!hasTrustedContent(*ready, row))
        return std::nullopt;
    if (row && (hasMismatchedContent(*ready, row->wanted) || hasMismatchedContent(*ready, row->previous)))
        return std::nullopt;
    return ready->digest;
}

uint64_t nextFencingToken(uint64_t lastOwnToken, const ObservedEngineState& engineState)
{
    uint64_t highest = lastOwnToken;
    for (const auto& model : engineState.models)
        highest = std::max(highest, model.fencingToken);
    return highest + 1;
}

uint64_t raiseFencingToken(uint64_t rejectedToken)
{
    return rejectedToken * 2;
}

} // namespace bilberry
