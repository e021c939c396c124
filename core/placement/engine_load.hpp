#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/placement/engine_work.hpp"

namespace fuchsiaquay {

/// What the hosts have sent to one engine and not seen the end of.
class engine_load {
public:
    /// Adds the work of a host or replaces what was known of it; `ended` removes it.
    void apply(const std::string& host, const engine_work& work);
    void remove(const std::string& host, std::uint64_t key);
    void remove_host(const std::string& host);

    /// Requests that take or wait for a slot.
    int requests() const;
    int decoding_requests() const;
    std::int64_t decoding_context_tokens() const;
    std::int64_t memory_tokens() const;
    /// Time until everything that waits to be read has been read.
    duration pending_prefill(instant now) const;
    /// Smallest pause that one of the requests allows between events; `duration::max()` for none.
    duration min_target_gap() const;
    /// Requests that write or will write whose allowed pause is below `pass`.
    int requests_with_gap_below(duration pass) const;
    /// Prompt tokens of the requests that wait and go before `own`, in their order: first those
    /// that can still be on time, except the heaviest, and of these the one that becomes late
    /// first.
    std::vector<std::int64_t> prompts_waiting_before(const engine_work& own, instant now) const;
    /// Whether another request that goes first took the engine at the same moment: one that this
    /// host did not know of when it chose the engine for `own`.
    bool contested(const engine_work& own) const;
    bool empty() const { return works_.empty(); }

private:
    /// By host and key.
    std::map<std::pair<std::string, std::uint64_t>, engine_work> works_;
};

}  // namespace fuchsiaquay
