/// One sending of a caller's request to an endpoint, with what has been received of its response.
#pragma once

#include "AnswerEnd.h"
#include "EndpointChoice.h"
#include "HttpChannel.h"
#include "ProtocolAdapter.h"
#include "Types.h"

#include <memory>
#include <optional>
#include <string>

namespace bilberry {

struct RequestAttempt {
    std::shared_ptr<HttpChannel> channel; ///< Null unless the attempt is in progress.
    uint32_t endpointRow = noEndpoint;
    std::string endpointId;
    WallTime endpointStartedAt {}; ///< Start of the endpoint's run to which the attempt was sent, as in EndpointStatement.
    TimePoint startedAt {};
    TimePoint lastReceivedAt {}; ///< When the attempt last made progress: at its start, with its head, with bytes of a body and
                                 ///< with whole events of a stream.
    TimePoint firstEventAt {}; ///< When the first whole event of a stream was received; the default value until then.
    ResponseHead responseHead;
    EndpointReply endpointReply;
    std::string body;
    AnswerEnd answerEnd; ///< Of an answer that ended with its connection, while its endpoint is probed.
    int skippedResponses = 0; ///< Number of responses to earlier requests that were skipped on the connection.
    std::optional<LoadReport> reportedLoad; ///< Load that the endpoint reported with its response.
};

} // namespace bilberry
