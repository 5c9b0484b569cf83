#include "ServerExchange.h"

#include "ServerConnection.h"

namespace bilberry {

ServerExchange::ServerExchange(std::shared_ptr<ServerConnection> connection, HttpRequest request, TimePoint receivedAt)
    : connection(std::move(connection))
    , received(std::move(request))
    , receivedTime(receivedAt)
{
}

// An exchange that nobody ended is cut off visibly.
ServerExchange::~ServerExchange()
{
    this->abort();
}

bool ServerExchange::hasCallerLeft() const
{
    return !this->isEnded && !this->connection->isOpen();
}

void ServerExchange::onCallerLeft(std::function<void()> handler)
{
    this->connection->onLeft = std::move(handler);
}

void ServerExchange::answer(int status, const HttpHeaders& headers, const std::string& body)
{
    if (this->isEnded)
        return;
    this->isEnded = true;
    this->connection->writeWhole(status, headers, body);
}

void ServerExchange::start(int status, const HttpHeaders& headers, const std::string& firstPart, std::function<void()> onSent)
{
    if (!this->isEnded)
        this->connection->writeHead(status, headers, firstPart, std::move(onSent));
}

void ServerExchange::send(std::string part, std::function<void()> onSent)
{
    if (!this->isEnded)
        this->connection->writePart(std::move(part), std::move(onSent));
}

void ServerExchange::finish()
{
    if (this->isEnded)
        return;
    this->isEnded = true;
    this->connection->writeLast();
}

void ServerExchange::abort()
{
    if (this->isEnded)
        return;
    this->isEnded = true;
    this->connection->close(true);
}

} // namespace bilberry
