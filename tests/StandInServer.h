/// HTTP server that every stand-in kind starts from.
#pragma once

#include "StandInControls.h"
#include <httplib.h>
#include <string>

namespace bilberry::standin {

/// Server with one thread per connection, long keep-alive, and the routes `/fault` and `/counts`.
class Server : public httplib::Server {
public:
    /// The controls must outlive the server.
    explicit Server(Controls&);

    /// Binds `IP:port` (port 0 picks a free one), prints `<word> IP:port` and serves until the process ends.
    void serve(const std::string& address, const std::string& word);
};

/// Handler of a route: calls the function with the state, which must outlive the server.
template <typename State>
httplib::Server::Handler makeHandler(State& state, void (*handle)(State&, const httplib::Request&, httplib::Response&))
{
    return [&state, handle](const httplib::Request& request, httplib::Response& response) { handle(state, request, response); };
}

/// Prints one whole line on standard output and flushes it. Thread safe.
void printLine(const std::string& line);

/// The socket over which the request came, -1 when it is gone. Call on the thread that handles the request.
int connectionSocket(const httplib::Request&);

/// Waits until the time, or until the peer closes the connection. Returns false when it closed. Thread safe.
bool waitUnlessClosed(int connection, TimePoint until);

/// Answers with a JSON body. Not thread safe for one response.
void answerJson(httplib::Response&, int status, const nlohmann::json& body);

/// Answers `{"error": text}`. Not thread safe for one response.
void answerError(httplib::Response&, int status, const std::string& text);

} // namespace bilberry::standin
