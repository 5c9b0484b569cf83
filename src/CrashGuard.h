/// Watches the requests at one endpoint's back end for those that crash it, and tells the other processes.
#pragma once

#include "HttpMessage.h"
#include "Quarantine.h"

#include <atomic>
#include <functional>

namespace bilberry {

struct Node;

/// Checks, admits and runs a request at the back end.
using BackEndRunner = std::function<HttpResponse()>;

/// Takes in another process's crash report, the JSON-RPC method `crash`; empty for a message that can't be read.
/// Thread safe.
std::string handleCrashReport(Quarantine&, Node&, const std::string& parameters);

/// Thread safe.
class CrashGuard {
public:
    /// Precondition: the node outlives the guard.
    explicit CrashGuard(Node&);

    /// Runs a forwarded request unless it is known to crash back ends; a suspected one runs without another one beside.
    /// When the back end goes while it runs, all entries and the service's endpoints are told before the answer is given.
    /// Precondition: the own VM's row exists.
    HttpResponse runRequest(const HttpRequest&, const ConfigurationPointer&, RowIndex own, const BackEndRunner&);
    /// Answers the JSON-RPC method `crash`.
    std::string handleCrashMessage(const std::string& parameters) { return handleCrashReport(this->quarantine, this->node, parameters); }

private:
    bool isBackEndDown(const std::string& address);
    void reportBackEndCrash(uint64_t fingerprint, const Configuration&, RowIndex own);

    Node& node;
    Quarantine quarantine;
    std::atomic<bool> isSuspectRunning { false };
};

} // namespace bilberry
