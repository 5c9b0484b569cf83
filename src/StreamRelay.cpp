#include "StreamRelay.h"

#include "HttpClient.h"
#include "Refusal.h"

namespace bilberry {

bool isEventStream(const HttpHeaders& headers)
{
    return findHeader(headers, "Content-Type").rfind("text/event-stream", 0) == 0;
}

void attachStream(HttpResponse& response, std::shared_ptr<HttpExchange> exchange)
{
    response.stream = [exchange = std::move(exchange), hasBroken = false](std::string& piece) mutable {
        if (hasBroken)
            return BodyStep::Broken;
        auto step = exchange->readPiece(piece);
        if (step != BodyStep::Broken)
            return step;
        hasBroken = true;
        piece = "event: error\ndata: " + problemDetails(makeRefusal(RefusalReason::StreamCut)) + "\n\n";
        return BodyStep::More;
    };
}

} // namespace bilberry
