#include "Digest.h"
#include "StandInKinds.h"
#include "StandInRate.h"
#include "StandInServer.h"
#include "TransferPacer.h"
#include <atomic>
#include <gflags/gflags.h>
#include <map>
#include <random>

DECLARE_string(listen);
DECLARE_double(bytes_per_second);

namespace bilberry::standin {

namespace {

using Bytes = std::shared_ptr<const std::string>;

struct Store {
    Controls controls;
    CallRateLimiter callLimiter;
    TransferPacer pacer;
    /// Is incremented when a patch sets stall_next; answers stalled before then continue.
    std::atomic<uint64_t> stallEpoch { 0 };
    std::mutex mutex;
    std::map<std::string, Bytes> blobs;
    std::map<std::string, std::string> manifests;
    std::map<std::string, std::string> tags; ///< Manifest digests; the key is model + "/" + tag.
};

/// One blob that is being sent, and the faults that are injected into it.
struct BlobAnswer {
    Bytes bytes;
    bool isCorrupt = false;
    bool shouldStall = false;
    uint64_t stallEpoch = 0;
};

constexpr Seconds maxStallTime { 60 };
constexpr Milliseconds stallCheckInterval { 20 };

std::string pseudoRandomBytes(std::mt19937_64& generator, size_t size)
{
    std::string bytes(size, '\0');
    for (size_t offset = 0; offset < size; offset += sizeof(uint64_t)) {
        const uint64_t word = generator();
        std::memcpy(&bytes[offset], &word, std::min(sizeof(word), size - offset));
    }
    return bytes;
}

uint64_t numberParameter(const httplib::Request& request, const std::string& name, uint64_t fallback)
{
    return request.has_param(name) ? std::strtoull(request.get_param_value(name).c_str(), nullptr, 10) : fallback;
}

nlohmann::json makeChunks(Store& store, const httplib::Request& request)
{
    const uint64_t size = numberParameter(request, "size_bytes", 1 << 20U);
    const uint64_t chunk = std::max<uint64_t>(numberParameter(request, "chunk_bytes", 1 << 18U), 1);
    std::mt19937_64 generator(numberParameter(request, "seed", 1));
    nlohmann::json layers = nlohmann::json::array();
    for (uint64_t offset = 0; offset < size; offset += chunk) {
        const auto bytes = std::make_shared<const std::string>(pseudoRandomBytes(generator, std::min(chunk, size - offset)));
        const std::string digest = "sha256:" + sha256Hex(*bytes);
        layers.push_back({ { "digest", digest }, { "size", bytes->size() } });
        const std::lock_guard lock(store.mutex);
        store.blobs[digest] = bytes;
    }
    return layers;
}

void makeModel(Store& store, const httplib::Request& request, httplib::Response& response)
{
    const nlohmann::json manifest { { "schemaVersion", 2 }, { "layers", makeChunks(store, request) } };
    const std::string text = manifest.dump();
    const std::string digest = "sha256:" + sha256Hex(text);
    const std::lock_guard lock(store.mutex);
    store.manifests[digest] = text;
    store.tags[request.matches[1].str() + "/" + request.matches[2].str()] = digest;
    answerJson(response, 201, { { "digest", digest }, { "chunks", manifest["layers"].size() } });
}

bool isRefused(Store& store, httplib::Response& response)
{
    if (switchValue(store.controls, "down", false)) {
        answerError(response, 503, "down");
        return true;
    }
    if (allowCall(store.callLimiter, switchValue(store.controls, "calls_per_second", 0.0)))
        return false;
    response.set_header("Retry-After", "1");
    answerError(response, 429, "over the call rate");
    return true;
}

void answerManifest(Store& store, const httplib::Request& request, httplib::Response& response)
{
    if (isRefused(store, response))
        return;
    const std::lock_guard lock(store.mutex);
    const std::string reference = request.matches[2];
    const auto tag = store.tags.find(request.matches[1].str() + "/" + reference);
    const auto manifest = store.manifests.find(tag == store.tags.end() ? reference : tag->second);
    if (manifest == store.manifests.end())
        return answerError(response, 404, "no such manifest");
    response.set_header("Docker-Content-Digest", manifest->first);
    response.set_content(manifest->second, "application/vnd.oci.image.manifest.v1+json");
}

bool waitForStallEnd(const Store& store, const BlobAnswer& answer, const httplib::DataSink& sink)
{
    const TimePoint end = Clock::now() + maxStallTime;
    while (store.stallEpoch == answer.stallEpoch && Clock::now() < end) {
        std::this_thread::sleep_for(stallCheckInterval);
        if (!sink.is_writable())
            return false;
    }
    return true;
}

bool sendNextBytes(Store& store, BlobAnswer& answer, size_t offset, size_t length, const httplib::DataSink& sink)
{
    const double rate = switchValue(store.controls, "bytes_per_second", 0.0);
    if (answer.shouldStall && offset >= answer.bytes->size() / 2) {
        answer.shouldStall = false;
        if (!waitForStallEnd(store, answer, sink))
            return false;
    }
    std::string block = answer.bytes->substr(offset, std::min(length, pacedWriteBytes(rate)));
    if (answer.isCorrupt)
        block[0] = static_cast<char>(~block[0]);
    std::this_thread::sleep_until(store.pacer.reserveBytes(block.size(), rate, Clock::now()));
    if (!sink.write(block.data(), block.size()))
        return false;
    addCount(store.controls, "bytes_sent", static_cast<int64_t>(block.size()));
    return true;
}

Bytes findBlob(Store& store, const std::string& digest)
{
    const std::lock_guard lock(store.mutex);
    const auto found = store.blobs.find(digest);
    return found == store.blobs.end() ? nullptr : found->second;
}

void answerBlob(Store& store, const httplib::Request& request, httplib::Response& response)
{
    if (isRefused(store, response))
        return;
    const Bytes bytes = findBlob(store, request.matches[2]);
    if (bytes == nullptr)
        return answerError(response, 404, "no such blob");
    const auto answer = std::make_shared<BlobAnswer>();
    *answer = { bytes, consumeFault(store.controls, "corrupt_next"), consumeFault(store.controls, "stall_next"), store.stallEpoch };
    response.set_content_provider(bytes->size(), "application/octet-stream",
        [&store, answer](size_t offset, size_t length, httplib::DataSink& sink) {
            return sendNextBytes(store, *answer, offset, length, sink);
        });
}

} // namespace

void runStore()
{
    static Store store;
    store.controls.counts = { { "bytes_sent", 0 } };
    store.controls.switches = { { "bytes_per_second", FLAGS_bytes_per_second } };
    store.controls.onSwitchesChanged = [](const nlohmann::json& patch) {
        if (patch.contains("stall_next"))
            ++store.stallEpoch;
    };
    Server server(store.controls);
    server.Put("/models/([^/]+)/([^/]+)", makeHandler(store, makeModel));
    server.Get("/v2/(.+)/manifests/([^/]+)", makeHandler(store, answerManifest));
    server.Get("/v2/(.+)/blobs/([^/]+)", makeHandler(store, answerBlob));
    server.serve(FLAGS_listen, "listening");
}

} // namespace bilberry::standin
