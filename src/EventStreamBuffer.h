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
    OutOfSequence, ///< An event isn't the one that is due, so that one is missing or repeated, or has no ID that shows it.
    Oversized,
};

/// Name of the fault in logs. Thread safe.
std::string_view toText(StreamFault);

/// One event stream to a caller, across all runs that produce it. Used by one thread at a time.
struct EventStreamBuffer {
    std::string partialEvent; ///< Bytes of an event that is not complete yet.
    std::optional<uint64_t> lastEventId; ///< ID of the last complete event, or of the event after which the caller continues.
    bool hasEvents = false; ///< Whether an event that is a part of the answer was complete; one without data and ID isn't.
    bool hasUnnumberedEvents = false; ///< Whether such an event had no ID, so that no other run can continue the stream.
    StreamFault fault = StreamFault::None;
};

/// Adds bytes and returns the complete events that can be forwarded. After a fault it returns no more events. IDs begin at zero or
/// one, or after `lastEventId`, and have no gaps; or else no event has an ID.
std::string takeCompleteEvents(EventStreamBuffer&, std::string_view bytes);
/// Discards the incomplete event and the fault of the run that ended, before another run continues after the last complete
/// event.
void discardPartialEvent(EventStreamBuffer&);
/// Value of an event's `id` field; nothing when the field is missing or isn't a number. Thread safe.
std::optional<uint64_t> parseEventId(std::string_view event);

} // namespace bilberry
