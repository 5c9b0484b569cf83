#include "EventStreamBuffer.h"

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

namespace bilberry {

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
        auto id = parseEventId(std::string_view(stream.partialEvent).substr(completeSize, end - completeSize));
        bool isExpected = !id || !stream.lastEventId || *id == *stream.lastEventId + 1;
        if (!isExpected) {
            stream.fault = StreamFault::OutOfSequence;
            break;
        }
        if (id)
            stream.lastEventId = id;
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
