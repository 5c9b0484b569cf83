/// Explains where an entry would send a request now. The answer comes from the functions that decide on requests.
#pragma once

#include "RouteReport.h"
#include "Types.h"

namespace bilberry {

struct EntryNode;

/// Returns NotFound for an account that the configuration doesn't have. Sends and changes nothing, but for one draw of the entry's
/// random numbers. To be called by the loop's thread only.
absl::StatusOr<RouteReport> explainRoute(EntryNode&, const RouteQuestion&, TimePoint now);

} // namespace bilberry
