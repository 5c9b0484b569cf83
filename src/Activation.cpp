#include "Activation.h"

#include <algorithm>

namespace bilberry {

static const EngineModel* findReady(const EngineReadBack& readBack, const std::string& model)
{
    for (const auto& loaded : readBack.models) {
        if (loaded.model == model && loaded.isReady)
            return &loaded;
    }
    return nullptr;
}

// Whether the engine says that it loaded other bytes than those of the version.
static bool hasOtherContent(const EngineModel& loaded, const WeightVersion& version)
{
    bool isKnown = loaded.digest == version.manifest.digest && isWhole(version) && !loaded.contentSha256.empty();
    return isKnown && loaded.contentSha256 != version.contentSha256;
}

// Whether the engine has what it says: it states the digest of its bytes, or what it serves is what this process had it
// load, and no order with another number came after.
static bool isVouchedFor(const EngineModel& loaded, const WeightRow* row)
{
    if (!loaded.contentSha256.empty())
        return true;
    bool isOwnLoad = row && !loaded.digest.empty() && row->lastLoad.digest == loaded.digest;
    return isOwnLoad && (loaded.fencing == 0 || loaded.fencing == row->lastLoad.fencing);
}

static const WeightVersion* chooseVersion(const WeightRow& row, bool servesAny)
{
    if (isWhole(row.wanted))
        return &row.wanted;
    if (!servesAny && isWhole(row.previous))
        return &row.previous;
    return nullptr;
}

EngineOrder chooseOrder(const WeightRow& row, const EngineReadBack& readBack, TimePoint wokenAt, TimePoint now)
{
    if (now - readBack.askedAt > readBackLifetime || readBack.askedAt < wokenAt || now < row.nextOrder)
        return {};
    const EngineModel* ready = findReady(readBack, row.model);
    if (ready && row.confirmedAt < wokenAt)
        return {};
    if (ready && (hasOtherContent(*ready, row.wanted) || hasOtherContent(*ready, row.previous)))
        return { OrderKind::Unload, ready->digest };
    bool isServing = ready && isVouchedFor(*ready, &row);
    const WeightVersion* version = chooseVersion(row, isServing);
    if (!version || (isServing && ready->digest == version->manifest.digest))
        return {};
    return { OrderKind::Load, version->manifest.digest };
}

std::optional<std::string> findServedDigest(const std::vector<WeightRow>& rows, const EngineReadBack& readBack, const std::string& model, TimePoint now)
{
    if (now - readBack.askedAt > readBackLifetime)
        return std::nullopt;
    const EngineModel* ready = findReady(readBack, model);
    if (!ready)
        return std::nullopt;
    const WeightRow* row = findWeightRow(rows, model);
    if (!isVouchedFor(*ready, row))
        return std::nullopt;
    if (row && (hasOtherContent(*ready, row->wanted) || hasOtherContent(*ready, row->previous)))
        return std::nullopt;
    return ready->digest;
}

uint64_t nextFencing(uint64_t lastOwn, const EngineReadBack& readBack)
{
    uint64_t highest = lastOwn;
    for (const auto& model : readBack.models)
        highest = std::max(highest, model.fencing);
    return highest + 1;
}

uint64_t raiseFencing(uint64_t refused)
{
    return refused * 2;
}

} // namespace bilberry
