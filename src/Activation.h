/// Which order the engine gets and which version requests may be admitted to. Pure decisions.
#pragma once

#include "EngineClient.h"
#include "WeightTable.h"

#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/// What the engine was last seen to have.
struct ObservedEngineState {
    std::vector<EngineModel> models;
    TimePoint requestSentAt {}; ///< When the question was sent: the answer is no older.
    bool isCold = false;
};

/// A read-back older than this proves nothing of the present.
constexpr Milliseconds maxEngineStateAge { 2000 };

enum class OrderKind : uint8_t { None,
    Load,
    Unload };

/// The order to give now.
struct EngineOrder {
    OrderKind kind = OrderKind::None;
    std::string digest; ///< Of the version to load.
};

/// Orders a whole version only. The wanted version goes first; the previous one is loaded again when the engine has
/// lost its model before the wanted one is whole. An engine whose bytes differ from those that were sent is unloaded
/// first; one that does not state its bytes and was not loaded by this process is loaded. Nothing is ordered on a
/// read-back that is too old, nor after a pause (`wokenAt`) before the version was confirmed again, unless the engine
/// serves nothing. Thread safe.
EngineOrder chooseEngineOrder(const WeightRow&, const ObservedEngineState&, TimePoint wokenAt, TimePoint now);

/// The version of the model that requests may be admitted to, or nothing: the engine's own fresh read-back says that
/// it serves it, and the bytes it loaded are those of that version as far as this process knows them. An engine that does
/// not state its bytes must have loaded the version on this process's last order. Thread safe.
std::optional<std::string> findServedDigest(const std::vector<WeightRow>&, const ObservedEngineState&, const std::string& model, TimePoint now);

/// The number for the next order: above all own ones and all that the engine reports. Thread safe.
uint64_t nextFencingToken(uint64_t lastOwn, const ObservedEngineState&);

/// The number to go on from after the engine refused one as old without reporting a higher one. Thread safe.
uint64_t raiseFencingToken(uint64_t refused);

} // namespace bilberry
