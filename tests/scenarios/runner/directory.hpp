#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "tests/scenarios/runner/entrypoint.hpp"

namespace fuchsiaquay::scenarios {

/// Client-side cache of entrypoints: queries any known node, keeps the response for its stated
/// lifetime, and falls back to the initial addresses. One for each caller; not thread safe.
class directory {
public:
    directory(std::vector<entrypoint> initial, std::string caller_key);

    /// Chooses a node to call; avoids `last` if there is another.
    entrypoint choose(const std::string& last, std::mt19937_64& random);

    /// True while the response that named the node is valid.
    bool valid(std::int64_t now_ms) const { return now_ms < valid_until_ms_; }

    /// Queries the directory again at the next choice.
    void forget() { valid_until_ms_ = 0; }

private:
    void refresh(std::mt19937_64& random);
    bool ask(const entrypoint& node);

    const std::vector<entrypoint> initial_;
    const std::string caller_key_;
    std::vector<entrypoint> current_;
    std::int64_t valid_until_ms_ = 0;
};

}  // namespace fuchsiaquay::scenarios
