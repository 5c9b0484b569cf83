#include "EventStreamBuffer.h"

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

namespace bilberry {

std::string_view toText(StreamFault fault)
{
    switch (fault) {
    case StreamFault::None:
        return "none";
    case StreamFault::OutOfSequence:
        return "out_of_sequence";
    case StreamFault::Oversized:
        return "oversized";
    }
    return "none";
}

std::optional<uint64_t> parseEventId(std::string_view event)
{
    while (!event.empty()) {
        auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (line.substr(0, 3) != "id:")
            continue;
        line.remove_prefix(3);
        uint64_t id = 0;
        // SimpleAtoi ignores whitespace around the number.
        if (absl::SimpleAtoi(absl::string_view(line.data(), line.size()), &id))
            return id;
        return std::nullopt;
    }
    return std::nullopt;
}

// Largest ID of the first event of a stream: endpoints number from zero or one.
static constexpr uint64_t maxFirstEventId = 1;

static bool hasData(std::string_view event)
{
    return event.substr(0, 5) == "data:" || event.find("\ndata:") != std::string_view::npos;
}

static bool isDue(const EventStreamBuffer& stream, uint64_t id)
{
    if (stream.hasUnnumberedEvents)
        return false;
    if (!stream.lastEventId)
        return id <= maxFirstEventId;
    return id > 0 && id - 1 == *stream.lastEventId;
}

// Records a complete event. Returns whether it can be forwarded.
static bool takeEvent(EventStreamBuffer& stream, std::string_view event)
{
    auto id = parseEventId(event);
    if (id && !isDue(stream, *id))
        return false;
    bool isUnnumbered = !id && hasData(event);
    if (isUnnumbered && stream.lastEventId)
        return false;
    stream.hasUnnumberedEvents = stream.hasUnnumberedEvents || isUnnumbered;
    stream.hasEvents = stream.hasEvents || isUnnumbered || id;
    if (id)
        stream.lastEventId = id;
    return true;
}

// Position after the empty line that ends the event which begins at or before `from`; zero when the event is not complete.
// Lines end with LF or CR LF.
static size_t completeEventEnd(std::string_view text, size_t from)
{
    size_t position = from;
    while ((position = text.find('\n', position)) != std::string_view::npos) {
        size_t next = position + 1;
        if (next < text.size() && text[next] == '\r')
            ++next;
        if (next < text.size() && text[next] == '\n')
            return next + 1;
        ++position;
    }
    return 0;
}

std::string takeCompleteEvents(EventStreamBuffer& stream, std::string_view bytes)
{
    if (stream.fault != StreamFault::None)
        return {};
    size_t searchFrom = stream.partialEvent.size() > 2 ? stream.partialEvent.size() - 2 : 0;
    stream.partialEvent += bytes;
    size_t completeSize = 0;
    while (size_t end = completeEventEnd(stream.partialEvent, std::max(completeSize, searchFrom))) {
        if (!takeEvent(stream, std::string_view(stream.partialEvent).substr(completeSize, end - completeSize))) {
            stream.fault = StreamFault::OutOfSequence;
            break;
        }
        completeSize = end;
    }
    auto events = stream.partialEvent.substr(0, completeSize);
    stream.partialEvent.erase(0, completeSize);
    if (stream.partialEvent.size() > maxStreamEventBytes)
        stream.fault = StreamFault::Oversized;
    return events;
}

void discardPartialEvent(EventStreamBuffer& stream)
{
    stream.partialEvent.clear();
    stream.fault = StreamFault::None;
}

} // namespace bilberry
