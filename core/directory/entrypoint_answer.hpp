#pragma once

#include <tuple>
#include <vector>

#include "core/directory/entrypoint.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Answer of `GET /v1/entrypoints`.
struct entrypoint_answer {
    /// In descending order of preference.
    std::vector<entrypoint> hosts;
    /// Maximum time for which the caller may use the answer.
    duration max_age{};

    friend bool operator==(const entrypoint_answer& a, const entrypoint_answer& b) {
        return std::tie(a.hosts, a.max_age) == std::tie(b.hosts, b.max_age);
    }
    friend bool operator!=(const entrypoint_answer& a, const entrypoint_answer& b) {
        return !(a == b);
    }
};

}  // namespace fuchsiaquay
