/// The HTTP server on which all kinds of stand-in are based.
#pragma once

#include "StandInControls.h"
#include <httplib.h>
#include <string>

namespace bilberry::standin {

/// A server with one thread for each connection, long keep-alive, and the routes `/fault` and `/counts`.
class Server : public httplib::Server {
public:
    /// The controls must outlive the server.
    explicit Server(Controls&);

    /// Binds `IP:port` (port 0 picks a free one), prints `<label> IP:port` and serves until the process ends.
    void serve(const std::string& address, const std::string& label);
};

/// Makes the handler of a route. It calls the function with the state, which must outlive the server.
template <typename State>
httplib::Server::Handler makeHandler(State& state, void (*handle)(State&, const httplib::Request&, httplib::Response&))
{
    return [&state, handle](const httplib::Request& request, httplib::Response& response) { handle(state, request, response); };
}

/// Prints one line to standard output without mixing it with other lines, and flushes it. Thread safe.
void printLine(const std::string& line);

/// Returns the socket on which the request was received, or -1 if it is closed. Must be called on the thread that handles the
/// request.
int connectionSocket(const httplib::Request&);

/// Waits until the given time, or until the peer closes the connection. Returns false if the peer closed it. Thread safe.
bool waitUnlessClosed(int connection, TimePoint until);

/// Sets a JSON body as the answer. Not thread safe for one response.
void answerJson(httplib::Response&, int status, const nlohmann::json& body);

/// Sets `{"error": text}` as the answer. Not thread safe for one response.
void answerError(httplib::Response&, int status, const std::string& text);

} // namespace bilberry::standin
