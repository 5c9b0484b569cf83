/// Cuts the bytes of an event stream into whole events, so that a stream can be continued by another run after the last one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry {

/// Largest event that is taken, in bytes.
constexpr size_t maxStreamEventBytes = 1 << 20;

enum class StreamFault : uint8_t {
    None,
    OutOfSequence, ///< An event is missing, or comes twice.
    Oversized,
};

/// One stream of a caller, over all runs that make it.
struct EventStreamBuffer {
    std::string partialEvent; ///< Bytes of an event that is not whole yet.
    std::optional<uint64_t> lastEventId; ///< Of the last whole event, or the one after which the caller wants to go on.
    StreamFault fault = StreamFault::None;
};

/// Takes in bytes; returns the whole events that can be passed on. After a fault nothing more is passed on.
std::string takeCompleteEvents(EventStreamBuffer&, std::string_view bytes);
/// Forgets the begun event and the fault of the run that ended, before another run continues after the last whole event.
void discardPartialEvent(EventStreamBuffer&);
/// The `id` field of an event; nothing when it has none or it is no number. Thread safe.
std::optional<uint64_t> parseEventId(std::string_view event);

} // namespace bilberry
