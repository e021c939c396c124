#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "tests/scenarios/runner/entrypoint.hpp"

namespace fuchsiaquay::scenarios {

/// The entrypoints that a caller keeps: it asks any node that it knows, keeps the answer for as
/// long as the answer says, and falls back to the addresses that it started with. One for each
/// caller; not thread safe.
class directory {
public:
    directory(std::vector<entrypoint> initial, std::string caller_key);

    /// A node to call now, not `last` where there is another.
    entrypoint choose(const std::string& last, std::mt19937_64& random);

    /// True while the answer that named the node still holds.
    bool valid(std::int64_t now_ms) const { return now_ms < valid_until_ms_; }

    /// Asks again at the next choice.
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
