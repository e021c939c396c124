#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/placement/engine_work.hpp"

namespace fuchsiaquay {

/// Work in progress on one engine, as dispatched by all hosts.
class engine_load {
public:
    /// Adds the work of a host or updates the known entry. The phase `ended` removes the entry.
    void apply(const std::string& host, const engine_work& work);
    void remove(const std::string& host, std::uint64_t key);
    bool contains(const std::string& host, std::uint64_t key) const {
        return work_items_.count({host, key}) > 0;
    }
    void remove_host(const std::string& host);

    /// Requests that occupy a slot or wait for one.
    int requests() const;
    int decoding_requests() const;
    std::int64_t decoding_context_tokens() const;
    std::int64_t memory_tokens() const;
    /// Time until the prefill of all dispatched prompts is complete.
    duration pending_prefill(instant now) const;
    /// Whether the engine processes a part of a prompt, or a long prompt, that has no event yet. It
    /// processes a part that is added before all of that.
    bool reads_long_prompt() const;
    /// Time since the first event of a prompt was expected. Prompts that were dispatched before one
    /// that the engine has answered do not count: their host may have failed to announce progress.
    duration overdue(instant now) const;
    /// Smallest `target_gap` of the requests; `duration::max()` if there are none.
    duration min_target_gap() const;
    /// Number of requests that generate output and whose `target_gap` is below `pass`.
    int requests_with_gap_below(duration pass) const;
    /// Prompt tokens of the waiting requests that are ahead of `own`, in queue order. Requests that
    /// can still meet their target come first, by rank and then by earliest target time. Requests
    /// that are late or exceed `very_long_prefill_threshold` come last.
    std::vector<std::int64_t> prompts_waiting_before(const engine_work& own, instant now) const;
    /// Whether a request that takes precedence over `own` was dispatched to the engine at the same
    /// time, so that this host did not know of it when it chose the engine for `own`.
    bool claim_lost(const engine_work& own) const;
    bool empty() const { return work_items_.empty(); }

private:
    /// The work in the prefill phase, by dispatch time.
    std::vector<const engine_work*> works_in_prefill() const;

    /// Work by host and request key.
    std::map<std::pair<std::string, std::uint64_t>, engine_work> work_items_;
};

}  // namespace fuchsiaquay
