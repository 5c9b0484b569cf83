/// Detects requests that crash the back end of an endpoint, and reports them to the other processes, so that retries of
/// one such request don't take down one endpoint after the other.
#pragma once

#include "HttpMessage.h"
#include "Quarantine.h"

#include <atomic>
#include <functional>

namespace bilberry {

struct Node;

/// Checks, admits and runs a request at the back end.
using BackEndRunner = std::function<HttpResponse()>;

/// Handles a crash report of another process, the JSON-RPC method `crash`. Returns an empty text for a message that can't
/// be parsed. Thread safe.
std::string handleCrashReport(Quarantine&, Node&, const std::string& parameters);

/// Thread safe.
class CrashGuard {
public:
    /// Precondition: the node outlives the guard.
    explicit CrashGuard(Node&);

    /// Runs a forwarded request, or refuses it when it is known to crash back ends. Only one suspected request runs at a
    /// time. When the back end goes down while the request runs, the crash is reported to all entries and the service's
    /// endpoints before the answer is given. Precondition: the row `ownVm` exists.
    HttpResponse runRequest(const HttpRequest&, const ConfigurationPointer&, RowIndex ownVm, const BackEndRunner&);
    /// Handles the JSON-RPC method `crash`.
    std::string handleCrashMessage(const std::string& parameters) { return handleCrashReport(this->quarantine, this->node, parameters); }

private:
    bool isBackEndDown(const std::string& address);
    void reportBackEndCrash(uint64_t fingerprint, const Configuration&, RowIndex ownVm);

    Node& node;
    Quarantine quarantine;
    std::atomic<bool> isSuspectRunning { false };
};

} // namespace bilberry
