/// The kinds of stand-in. Each function runs one and returns only when the process ends.
#pragma once

namespace bilberry::standin {

/// Runs a configuration service with a subset of the Consul key/value API.
void runConfig();
/// Runs a weight store and origin with a subset of the OCI distribution API.
void runStore();
/// Runs a model engine with subsets of the OpenAI and KServe APIs.
void runEngine();
/// Runs a plain service that answers with a digest of the request.
void runPlain();
/// Runs a TCP relay that can limit the rate, stall, or cut connections.
void runLink();

} // namespace bilberry::standin
