/// Decides which order the model engine is sent and which version of a model requests may be admitted to, so that only
/// complete, verified versions are loaded and served, also after an engine restart or a pause of this process. The functions
/// are pure.
#pragma once

#include "EngineClient.h"
#include "WeightTable.h"

#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/// What the engine last reported about itself.
struct ObservedEngineState {
    std::vector<EngineModel> models;
    TimePoint requestSentAt {}; ///< When the request was sent; the reported state is no older than this.
    bool isCold = false;
};

/// An engine state older than this is not relied upon.
constexpr Milliseconds maxEngineStateAge { 2000 };

enum class OrderKind : uint8_t { None,
    Load,
    Unload };

/// The order to send now.
struct EngineOrder {
    OrderKind kind = OrderKind::None;
    std::string digest; ///< Digest of the version to load; for an unload, of the version that the engine serves.
};

/// Chooses the next order for a model; only a complete version is ever loaded. The wanted version has precedence; the
/// previous one is loaded again when the engine has lost its model before the wanted one is complete. An engine that
/// reports another content digest than that of the version is unloaded first; one that reports no content digest and was
/// not loaded by this process is loaded again. There is no order while the engine state is too old, nor after a pause of
/// this process (which ended at `resumedAt`) until the version has been confirmed again, unless the engine serves nothing.
/// Thread safe.
EngineOrder chooseEngineOrder(const WeightRow&, const ObservedEngineState&, TimePoint resumedAt, TimePoint now);

/// The version of the model that requests may be admitted to, or nothing. The engine's recent state must report that the
/// engine serves the version, and its content digest must not contradict the one that this process knows. An engine that
/// reports no content digest must have loaded the version on this process's last order. Thread safe.
std::optional<std::string> findServedDigest(const std::vector<WeightRow>&, const ObservedEngineState&, const std::string& model, TimePoint now);

/// The fencing token for the next order: higher than all own ones and all that the engine reports. Thread safe.
uint64_t nextFencingToken(uint64_t lastOwnToken, const ObservedEngineState&);

/// The fencing token to continue from after the engine rejected one as old. It grows by doubling, since the engine may not
/// report the higher token that it has seen. Thread safe.
uint64_t raiseFencingToken(uint64_t rejectedToken);

} // namespace bilberry
