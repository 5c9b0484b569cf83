/// The kinds of stand-in. Each function serves until the process ends.
#pragma once

namespace bilberry::standin {

/// Configuration service: the Consul key/value subset.
void runConfig();
/// Weight store and origin: the OCI distribution subset.
void runStore();
/// Model engine: the OpenAI and KServe subset.
void runEngine();
/// Plain service that echoes.
void runPlain();
/// TCP relay with rates and cuts.
void runLink();

} // namespace bilberry::standin
