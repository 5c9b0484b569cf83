#include "ServerExchange.h"

#include "ServerConnection.h"

namespace bilberry {

ServerExchange::ServerExchange(std::shared_ptr<ServerConnection> connection, HttpRequest request, TimePoint receivedAt)
    : connection(std::move(connection))
    , receivedRequest(std::move(request))
    , receivedTime(receivedAt)
{
}

// An exchange that was not ended is aborted, so that the caller doesn't take the response for complete.
ServerExchange::~ServerExchange()
{
    this->abortResponse();
}

bool ServerExchange::hasCallerLeft() const
{
    return !this->isEnded && !this->connection->isOpen();
}

void ServerExchange::onCallerLeft(std::function<void()> handler)
{
    this->connection->onCallerLeft = std::move(handler);
}

void ServerExchange::sendResponse(int status, const HttpHeaders& headers, const std::string& body)
{
    if (this->isEnded)
        return;
    this->isEnded = true;
    this->connection->writeWholeResponse(status, headers, body);
}

void ServerExchange::startResponse(int status, const HttpHeaders& headers, const std::string& firstChunk, std::function<void()> onSent)
{
    if (!this->isEnded)
        this->connection->writeHead(status, headers, firstChunk, std::move(onSent));
}

void ServerExchange::sendBodyChunk(std::string chunk, std::function<void()> onSent)
{
    if (!this->isEnded)
        this->connection->writeBodyChunk(std::move(chunk), std::move(onSent));
}

void ServerExchange::finishResponse()
{
    if (this->isEnded)
        return;
    this->isEnded = true;
    this->connection->writeLastChunk();
}

void ServerExchange::abortResponse()
{
    if (this->isEnded)
        return;
    this->isEnded = true;
    this->connection->close(true);
}

} // namespace bilberry
