#include "StreamRelay.h"

#include "HttpClient.h"

namespace bilberry {

static constexpr std::string_view eventEnd = "\n\n";
static constexpr std::string_view fingerprintStart = "\"system_fingerprint\":\"";
// How often one stream is resumed.
static constexpr int maxResumes = 3;

bool isEventStream(const HttpHeaders& headers)
{
    return findHeader(headers, "Content-Type").rfind("text/event-stream", 0) == 0;
}

static std::string_view withoutSpace(std::string_view text)
{
    return !text.empty() && text.front() == ' ' ? text.substr(1) : text;
}

StreamEvent readStreamEvent(std::string_view text)
{
    StreamEvent event;
    while (!text.empty()) {
        auto line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        if (line.substr(0, 3) == "id:")
            event.id = withoutSpace(line.substr(3));
        if (line.substr(0, 5) != "data:")
            continue;
        event.isEnd = withoutSpace(line.substr(5)) == "[DONE]";
        // Quotes inside a JSON string are escaped, so that generated text can't look like the field.
        auto start = line.find(fingerprintStart);
        if (start == std::string_view::npos)
            continue;
        auto value = line.substr(start + fingerprintStart.size());
        event.fingerprint = value.substr(0, value.find('"'));
    }
    return event;
}

std::string takeEvents(StreamProgress& progress, std::string_view piece)
{
    if (progress.isMixed || progress.isOversized)
        return {};
    // What is pending holds no whole end of an event, but perhaps the first half of one.
    size_t searchStart = progress.pending.empty() ? 0 : progress.pending.size() - 1;
    progress.pending += piece;
    size_t passed = 0;
    for (size_t end = progress.pending.find(eventEnd, searchStart); end != std::string::npos; end = progress.pending.find(eventEnd, passed)) {
        if (end - passed > maxEventBytes)
            break;
        auto event = readStreamEvent(std::string_view(progress.pending).substr(passed, end - passed));
        bool isOther = !event.fingerprint.empty() && !progress.fingerprint.empty() && event.fingerprint != progress.fingerprint;
        progress.isMixed = progress.isMixed || isOther;
        if (progress.isMixed)
            break;
        if (!event.fingerprint.empty())
            progress.fingerprint = event.fingerprint;
        if (!event.id.empty())
            progress.lastId = event.id;
        progress.isWhole = event.isEnd;
        passed = end + eventEnd.size();
    }
    std::string events = progress.pending.substr(0, passed);
    progress.pending.erase(0, passed);
    progress.hasPassed = progress.hasPassed || passed > 0;
    progress.isOversized = progress.isOversized || progress.pending.size() >= maxEventBytes + eventEnd.size();
    if (progress.isOversized)
        progress.pending.clear();
    return events;
}

bool mayResume(const StreamProgress& progress)
{
    if (progress.isMixed || progress.isOversized || progress.isWhole)
        return false;
    return !progress.hasPassed || (!progress.lastId.empty() && !progress.fingerprint.empty());
}

namespace {

struct StreamRelay {
    std::shared_ptr<HttpExchange> exchange;
    StreamSource source;
    StreamProgress progress;
    int resumes = 0;
    bool hasFailed = false;

    // Reads from the endpoint; true as long as there is a stream to read from.
    bool advance(std::string& events)
    {
        std::string piece;
        bool isHeard = this->source.wait(*this->exchange);
        auto step = isHeard ? this->exchange->readPiece(piece) : BodyStep::Broken;
        if (step == BodyStep::More) {
            events = takeEvents(this->progress, piece);
            return !this->progress.isMixed && !this->progress.isOversized;
        }
        if (!this->source.reopen || !mayResume(this->progress) || this->resumes >= maxResumes)
            return false;
        ++this->resumes;
        this->progress.pending.clear();
        auto next = this->source.reopen(this->progress.lastId);
        if (!next)
            return false;
        this->exchange = std::move(next);
        return true;
    }

    BodyStep read(std::string& events)
    {
        if (this->progress.isWhole) {
            // The connection can be kept when its end is read, too.
            std::string rest;
            this->exchange->readPiece(rest);
            return BodyStep::End;
        }
        if (this->hasFailed)
            return BodyStep::Broken;
        while (events.empty()) {
            if (this->advance(events))
                continue;
            this->hasFailed = true;
            events += "event: error\ndata: " + problemDetails(makeRefusal(RefusalReason::StreamCut)) + "\n\n";
        }
        return BodyStep::More;
    }
};

} // namespace

void attachStream(HttpResponse& response, std::shared_ptr<HttpExchange> exchange, StreamSource source)
{
    auto relay = std::make_shared<StreamRelay>(StreamRelay { std::move(exchange), std::move(source), {}, 0, false });
    response.stream = [relay](std::string& piece) {
        piece.clear();
        return relay->read(piece);
    };
}

} // namespace bilberry
