/// A caller's request as an entry parses it: client account, service, model and deadline.
#pragma once

#include "Configuration.h"

#include <string>

namespace bilberry {

struct HttpRequest;

/// A caller's request with what the configuration says about it.
struct EntryRequest {
    const HttpRequest* httpRequest = nullptr; ///< Not owned; must outlive its uses through this member.
    ConfigurationPointer configuration;
    RowIndex service = noRow;
    RowIndex model = noRow;
    RowIndex caller = noRow; ///< Row of the client account.
    bool isUnrepeatable = false;
    bool isStream = false;
    uint64_t prefixHash = 0; ///< Hash of the start of a model request's prompt; zero for plain services.
    TimePoint receivedAt {};
    TimePoint deadline {};
};

/// Fills in all but `configuration` and `receivedAt`, which are set before. Returns None, or why the request is refused.
/// Precondition: the configuration is not null. Thread safe.
RefusalReason parseEntryRequest(const HttpRequest&, EntryRequest&);

} // namespace bilberry
