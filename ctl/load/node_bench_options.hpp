#pragma once

#include <string>

namespace fuchsiaquay {

/// Load that `bench-node` sends to a node and, for comparison, directly to an engine.
struct node_bench_options {
    /// Base URI, for example `http://127.0.0.1:8080`.
    std::string node_uri;
    std::string engine_uri;
    std::string caller_key;
    std::string model = "assistant-7b";
    int streams = 50;
    int rounds = 4;
    int max_tokens = 64;
    int prompt_bytes = 4096;
};

}  // namespace fuchsiaquay
