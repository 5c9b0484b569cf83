/// Continues the tenure of a key slot at another process when its owner changes by plan.
///
/// The former owner stops dispatching, then tells the successor since when it vouched, what its voters had granted it,
/// and its table's rows. The successor vouches as the former owner did only when no tenure lay between the two: at a
/// majority of the voters the successor's grant is the very next one after the former owner's. Any tenure between
/// would have needed a majority, so at one of these voters a grant, and a number, of its own.
#pragma once

#include "KeyLease.h"

#include <optional>

namespace bilberry {

/// Ends the tenure of a slot that is held now and gives what a successor needs; nothing when the slot is not held or
/// a former set of voters still counts. The slot is given up in any case. Not thread safe.
std::optional<TenureRecord> endTenure(LeaseHolder&, uint32_t slot, TimePoint now);

/// Keeps what a former owner told until the slot is held here. Precondition: the slot exists, and the former owner's
/// rows are in the table. Not thread safe.
void noteHandOver(LeaseHolder&, TenureRecord);

/// Continues the tenures that were handed over and are proved to follow without a gap. Call it after each
/// takeReply() and noteHandOver(); gives how many it continued. Not thread safe.
uint32_t continueTenures(LeaseHolder&, TimePoint now);

} // namespace bilberry
