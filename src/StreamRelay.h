/// Passes an endpoint's event stream on to the caller, whole events only, and resumes it elsewhere when it breaks.
#pragma once

#include "HttpMessage.h"
#include "Refusal.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bilberry {

class HttpExchange;

/// Whether the answer is a stream of server-sent events. Thread safe.
bool isEventStream(const HttpHeaders&);

/// What one event says that matters for passing it on.
struct StreamEvent {
    std::string_view id; ///< Empty without one.
    std::string_view fingerprint; ///< Of the weights that made it; empty without one.
    bool isEnd = false; ///< The event that ends a whole stream.
};

/// Reads one event's text, without the empty line after it. Thread safe.
StreamEvent parseStreamEvent(std::string_view text);

/// Largest event that is passed on, and so the most that is kept of one that has not ended.
constexpr size_t maxEventBytes = size_t(1) << 20;

/// What has been passed on so far. Pure: it is fed pieces and gives whole events.
struct StreamProgress {
    std::string pending; ///< Start of an event whose rest has not come.
    std::string lastId;
    std::string fingerprint;
    bool hasForwardedEvents = false; ///< The caller has some event.
    bool isComplete = false; ///< The last event has come.
    bool hasMixedWeights = false; ///< An event came from other weights than those before it.
    bool isOversized = false; ///< An event is larger than maxEventBytes.
};

/// Takes a piece over and returns the whole events in it, to be passed on; stops at an event of other weights
/// and at one that is too large.
std::string extractEvents(StreamProgress&, std::string_view piece);

/// Whether a broken stream can go on elsewhere: the last event was numbered and its weights are known, or there was none.
bool mayResumeStream(const StreamProgress&);

/// Opens the stream again after the event with that id, or gives null.
using StreamReopener = std::function<std::shared_ptr<HttpExchange>(const std::string& lastId)>;

/// Waits for the next piece; false when the endpoint is given up.
using StreamWaiter = std::function<bool(HttpExchange&)>;

/// What a relay asks of its owner.
struct StreamCallbacks {
    StreamReopener reopen; ///< Empty for a stream that must not be run twice.
    StreamWaiter waitForData;
};

/// Passes a stream on. One that breaks is resumed, as long as the same weights answer; otherwise it ends with an error
/// event, so that it can't be taken for a whole one.
void attachEventStream(HttpResponse&, std::shared_ptr<HttpExchange>, StreamCallbacks);

} // namespace bilberry
