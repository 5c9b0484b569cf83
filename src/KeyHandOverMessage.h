/// The JSON of a hand-over of key slots between two endpoints.
#pragma once

#include "KeyLease.h"
#include "KeyTable.h"

#include <optional>
#include <string>

namespace bilberry {

/// What one slot's former owner knows.
struct SlotHandOver {
    TenureRecord tenure;
    std::vector<KeyRecord> rows;
};

/// The slots of one service that go to one successor, or some of them.
struct HandOverMessage {
    std::string service;
    std::vector<SlotHandOver> slots;
};

/// Parameters of the JSON-RPC method `key_hand_over`. Thread safe.
std::string formatHandOver(const HandOverMessage&);

/// Nothing when the text is no hand-over, or names a slot that does not exist. Thread safe.
std::optional<HandOverMessage> parseHandOver(const std::string& text);

/// About the bytes of a slot in a message. Thread safe.
size_t measureHandOver(const SlotHandOver&);

} // namespace bilberry
