#include "StandInEngine.h"

namespace bilberry::standin {

namespace {

constexpr int defaultMaximumTokens = 16;
constexpr size_t endlessEventWriteBytes = 65'536;

/// One request to an engine. It stores the digest of the version that served when the request started.
struct Completion {
    Engine& engine;
    int connection;
    bool isChat;
    bool isStream = false;
    std::string model {};
    std::string prompt {};
    std::string hash {};
    std::string digest {};
    int tokens = defaultMaximumTokens;
    int resumeAfter = 0; ///< The number of tokens that the caller has already received.
};

std::string contentText(const nlohmann::json& content)
{
    return content.is_string() ? content.get<std::string>() : content.dump();
}

std::string promptText(const nlohmann::json& body, bool isChat)
{
    if (!isChat)
        return contentText(body.value("prompt", nlohmann::json("")));
    std::string prompt;
    for (const auto& message : body.value("messages", nlohmann::json::array()))
        prompt += contentText(message.value("content", nlohmann::json("")));
    return prompt;
}

bool parseCompletion(const httplib::Request& request, Completion& completion)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return false;
    completion.model = body.value("model", "");
    completion.prompt = promptText(body, completion.isChat);
    completion.hash = promptHash(completion.prompt);
    completion.isStream = body.value("stream", false);
    completion.tokens = body.value("max_tokens", defaultMaximumTokens);
    completion.resumeAfter = static_cast<int>(std::strtol(request.get_header_value("Last-Event-ID").c_str(), nullptr, 10));
    return true;
}

/// Returns 200 if the request to the model can run, otherwise the status with which it is refused. Sets the digest of the
/// serving version.
int findServingVersion(Completion& completion)
{
    Engine& engine = completion.engine;
    const std::lock_guard lock(engine.mutex);
    const auto found = engine.models.find(completion.model);
    if (found == engine.models.end())
        return 404;
    completion.digest = found->second.servingDigest;
    if (!completion.digest.empty())
        return 200;
    return found->second.loadingDigest.empty() ? 404 : 503;
}

std::string tokenText(const Completion& completion, int token)
{
    return (token > 1 ? " " : "") + completion.hash + "-" + std::to_string(token);
}

nlohmann::json makeCompletionObject(const Completion& completion, const std::string& text, bool isChunk)
{
    nlohmann::json choice { { "index", 0 }, { "finish_reason", isChunk ? nlohmann::json() : nlohmann::json("length") } };
    if (completion.isChat)
        choice[isChunk ? "delta" : "message"] = { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    const std::string kind = completion.isChat ? (isChunk ? "chat.completion.chunk" : "chat.completion") : "text_completion";
    return { { "id", "cmpl-" + completion.hash }, { "object", kind }, { "model", completion.model },
        { "system_fingerprint", completion.digest }, { "choices", nlohmann::json::array({ choice }) } };
}

/// Ends the run of a request exactly once, at the latest when the response is destroyed: counts it and releases its slot.
struct RunGuard {
    Completion completion;
    bool isFinished = false;

    ~RunGuard()
    {
        addCount(this->completion.engine.controls, this->isFinished ? "finished" : "cancelled");
        releaseSlot(this->completion.engine.limiter);
    }
};

bool writeStream(RunGuard& run, httplib::DataSink& sink)
{
    const Completion& completion = run.completion;
    if (switchValue(completion.engine.controls, "endless_event", false)) {
        const std::string chunk(endlessEventWriteBytes, 'x');
        while (sink.write(chunk.data(), chunk.size())) { }
        return false;
    }
    TimePoint due = Clock::now();
    for (int token = completion.resumeAfter + 1; token <= completion.tokens; ++token) {
        due += switchDuration(completion.engine.controls, "token_ms");
        if (!waitUnlessClosed(completion.connection, due))
            return false;
        const std::string event = "id: " + std::to_string(token) + "\ndata: " + makeCompletionObject(completion, tokenText(completion, token), true).dump() + "\n\n";
        if (!sink.write(event.data(), event.size()))
            return false;
    }
    const std::string end = "data: [DONE]\n\n";
    if (!sink.write(end.data(), end.size()))
        return false;
    run.isFinished = true;
    sink.done();
    return true;
}

void answerCompleteText(RunGuard& run, httplib::Response& response)
{
    const Completion& completion = run.completion;
    TimePoint due = Clock::now();
    std::string text;
    for (int token = 1; token <= completion.tokens; ++token) {
        due += switchDuration(completion.engine.controls, "token_ms");
        if (!waitUnlessClosed(completion.connection, due))
            return;
        text += tokenText(completion, token);
    }
    run.isFinished = true;
    answerJson(response, 200, makeCompletionObject(completion, text, false));
}

void recordRunStart(const Completion& completion)
{
    const Engine& engine = completion.engine;
    addCount(completion.engine.controls, "started");
    addGroupCount(completion.engine.controls, "runs", completion.hash);
    const std::string crashOn = switchValue<std::string>(engine.controls, "crash_on", "");
    if (!crashOn.empty() && completion.prompt.find(crashOn) != std::string::npos)
        std::_Exit(1);
}

void answerCompletion(Engine& engine, const httplib::Request& request, httplib::Response& response)
{
    Completion completion { engine, connectionSocket(request), request.matches[1].matched };
    if (!parseCompletion(request, completion))
        return answerError(response, 400, "the body is not a JSON object");
    if (const int status = findServingVersion(completion); status != 200)
        return answerError(response, status, "the model is not ready");
    const AdmissionResult admission = acquireSlot(engine.limiter, completion.connection);
    if (admission == AdmissionResult::ConnectionClosed)
        addCount(engine.controls, "cancelled");
    if (admission != AdmissionResult::Admitted)
        return answerError(response, 503, "cold");
    // The version may have changed while the request waited; the run uses the version that serves now.
    const int status = findServingVersion(completion);
    if (status != 200) {
        releaseSlot(engine.limiter);
        return answerError(response, status, "the model is not ready");
    }
    recordRunStart(completion);
    const std::shared_ptr<RunGuard> run(new RunGuard { completion });
    if (!waitUnlessClosed(completion.connection, Clock::now() + switchDuration(engine.controls, "prefill_ms")))
        return;
    if (!completion.isStream)
        return answerCompleteText(*run, response);
    response.set_chunked_content_provider("text/event-stream", [run](size_t, httplib::DataSink& sink) {
        return writeStream(*run, sink);
    });
}

} // namespace

void addCompletionRoutes(Engine& engine, Server& server)
{
    server.Post("/v1/(chat/)?completions", makeHandler(engine, answerCompletion));
}

} // namespace bilberry::standin
