#include "StreamRelay.h"

#include "HttpClient.h"

namespace bilberry {

static constexpr std::string_view eventDelimiter = "\n\n";
static constexpr std::string_view fingerprintFieldStart = "\"system_fingerprint\":\"";
// Maximum number of times that one stream is resumed.
static constexpr int maxStreamResumes = 3;

bool isEventStream(const HttpHeaders& headers)
{
    return findHeader(headers, "Content-Type").rfind("text/event-stream", 0) == 0;
}

static std::string_view withoutLeadingSpace(std::string_view text)
{
    return !text.empty() && text.front() == ' ' ? text.substr(1) : text;
}

StreamEvent parseStreamEvent(std::string_view text)
{
    StreamEvent event;
    while (!text.empty()) {
        auto line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        if (line.substr(0, 3) == "id:")
            event.id = withoutLeadingSpace(line.substr(3));
        if (line.substr(0, 5) != "data:")
            continue;
        event.isEnd = withoutLeadingSpace(line.substr(5)) == "[DONE]";
        // Quotes inside a JSON string are escaped, so that generated text can't be taken for the field.
        auto start = line.find(fingerprintFieldStart);
        if (start == std::string_view::npos)
            continue;
        auto value = line.substr(start + fingerprintFieldStart.size());
        event.weightsFingerprint = value.substr(0, value.find('"'));
    }
    return event;
}

std::string extractEvents(StreamProgress& progress, std::string_view piece)
{
    if (progress.hasMixedWeights || progress.isOversized)
        return {};
    // The pending text holds no whole delimiter, but it may end with the first half of one.
    size_t searchStart = progress.pending.empty() ? 0 : progress.pending.size() - 1;
    progress.pending += piece;
    size_t forwardedBytes = 0;
    for (size_t end = progress.pending.find(eventDelimiter, searchStart); end != std::string::npos; end = progress.pending.find(eventDelimiter, forwardedBytes)) {
        if (end - forwardedBytes > maxEventBytes)
            break;
        auto event = parseStreamEvent(std::string_view(progress.pending).substr(forwardedBytes, end - forwardedBytes));
        bool hasOtherWeights = !event.weightsFingerprint.empty() && !progress.weightsFingerprint.empty() && event.weightsFingerprint != progress.weightsFingerprint;
        progress.hasMixedWeights = progress.hasMixedWeights || hasOtherWeights;
        if (progress.hasMixedWeights)
            break;
        if (!event.weightsFingerprint.empty())
            progress.weightsFingerprint = event.weightsFingerprint;
        if (!event.id.empty())
            progress.lastId = event.id;
        progress.isComplete = event.isEnd;
        forwardedBytes = end + eventDelimiter.size();
    }
    std::string events = progress.pending.substr(0, forwardedBytes);
    progress.pending.erase(0, forwardedBytes);
    progress.hasForwardedEvents = progress.hasForwardedEvents || forwardedBytes > 0;
    progress.isOversized = progress.isOversized || progress.pending.size() >= maxEventBytes + eventDelimiter.size();
    if (progress.isOversized)
        progress.pending.clear();
    return events;
}

bool mayResumeStream(const StreamProgress& progress)
{
    if (progress.hasMixedWeights || progress.isOversized || progress.isComplete)
        return false;
    return !progress.hasForwardedEvents || (!progress.lastId.empty() && !progress.weightsFingerprint.empty());
}

namespace {

struct StreamRelay {
    std::shared_ptr<HttpExchange> exchange;
    StreamCallbacks callbacks;
    StreamProgress progress;
    int resumeCount = 0;
    bool hasFailed = false;

    // Reads a piece from the endpoint, or resumes a broken stream; returns false when the stream can't continue.
    bool readFromEndpoint(std::string& events)
    {
        std::string piece;
        bool hasData = this->callbacks.waitForData(*this->exchange);
        auto step = hasData ? this->exchange->readBodyChunk(piece) : BodyReadResult::Truncated;
        if (step == BodyReadResult::More) {
            events = extractEvents(this->progress, piece);
            return !this->progress.hasMixedWeights && !this->progress.isOversized;
        }
        if (!this->callbacks.reopen || !mayResumeStream(this->progress) || this->resumeCount >= maxStreamResumes)
            return false;
        ++this->resumeCount;
        this->progress.pending.clear();
        auto next = this->callbacks.reopen(this->progress.lastId);
        if (!next)
            return false;
        this->exchange = std::move(next);
        return true;
    }

    BodyReadResult readNextEvents(std::string& events)
    {
        if (this->progress.isComplete) {
            // The connection can be reused only when the end of the body is read, too.
            std::string rest;
            this->exchange->readBodyChunk(rest);
            return BodyReadResult::End;
        }
        if (this->hasFailed)
            return BodyReadResult::Truncated;
        while (events.empty()) {
            if (this->readFromEndpoint(events))
                continue;
            this->hasFailed = true;
            events += "event: error\ndata: " + problemDetails(makeRefusal(RefusalReason::StreamCut)) + "\n\n";
        }
        return BodyReadResult::More;
    }
};

} // namespace

void attachEventStream(HttpResponse& response, std::shared_ptr<HttpExchange> exchange, StreamCallbacks callbacks)
{
    auto relay = std::make_shared<StreamRelay>(StreamRelay { std::move(exchange), std::move(callbacks), {}, 0, false });
    response.stream = [relay](std::string& piece) {
        piece.clear();
        return relay->readNextEvents(piece);
    };
}

} // namespace bilberry
