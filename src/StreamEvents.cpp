#include "StreamEvents.h"

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

namespace bilberry {

std::optional<uint64_t> eventId(std::string_view event)
{
    while (!event.empty()) {
        auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (line.substr(0, 3) != "id:")
            continue;
        line.remove_prefix(3);
        uint64_t id = 0;
        // SimpleAtoi passes over the blanks around the number.
        if (absl::SimpleAtoi(absl::string_view(line.data(), line.size()), &id))
            return id;
        return std::nullopt;
    }
    return std::nullopt;
}

// Length of the first event with its empty line; zero when it is not whole. Lines end with LF or CR LF.
static size_t wholeEventSize(std::string_view text, size_t from)
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

std::string takeWholeEvents(StreamEvents& stream, std::string_view bytes)
{
    if (stream.fault != StreamFault::None)
        return {};
    size_t searched = stream.pending.size() > 2 ? stream.pending.size() - 2 : 0;
    stream.pending += bytes;
    size_t passed = 0;
    while (size_t end = wholeEventSize(stream.pending, std::max(passed, searched))) {
        auto id = eventId(std::string_view(stream.pending).substr(passed, end - passed));
        bool isExpected = !id || !stream.lastId || *id == *stream.lastId + 1;
        if (!isExpected) {
            stream.fault = StreamFault::Gap;
            break;
        }
        if (id)
            stream.lastId = id;
        passed = end;
    }
    auto events = stream.pending.substr(0, passed);
    stream.pending.erase(0, passed);
    if (stream.pending.size() > maxStreamEventBytes)
        stream.fault = StreamFault::Oversized;
    return events;
}

void dropBegunEvent(StreamEvents& stream)
{
    stream.pending.clear();
    stream.fault = StreamFault::None;
}

} // namespace bilberry
