/// Splits the bytes of an event stream into complete events, so that another run can continue the stream after the last
/// complete event when an endpoint fails.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry {

/// Size of the largest event that is accepted, in bytes.
constexpr size_t maxStreamEventBytes = 1 << 20;

/// Why a stream can't go on.
enum class StreamFault : uint8_t {
    None,
    OutOfSequence, ///< An event's ID doesn't follow the one before it: an event is missing or repeated.
    Oversized,
};

/// One event stream to a caller, across all runs that produce it. Used by one thread at a time.
struct EventStreamBuffer {
    std::string partialEvent; ///< Bytes of an event that is not complete yet.
    std::optional<uint64_t> lastEventId; ///< ID of the last complete event, or of the event after which the caller continues.
    StreamFault fault = StreamFault::None;
};

/// Adds bytes and returns the complete events that can be forwarded. After a fault it returns no more events.
std::string takeCompleteEvents(EventStreamBuffer&, std::string_view bytes);
/// Discards the incomplete event and the fault of the run that ended, before another run continues after the last complete
/// event.
void discardPartialEvent(EventStreamBuffer&);
/// Value of an event's `id` field; nothing when the field is missing or isn't a number. Thread safe.
std::optional<uint64_t> parseEventId(std::string_view event);

} // namespace bilberry
