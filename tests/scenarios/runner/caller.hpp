#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <string>

#include "tests/scenarios/checker/call_record.hpp"
#include "tests/scenarios/runner/directory.hpp"
#include "tests/scenarios/runner/http_reply.hpp"
#include "tests/scenarios/runner/http_request_options.hpp"
#include "tests/scenarios/runner/load_phase.hpp"
#include "tests/scenarios/runner/load_profile.hpp"

namespace fuchsiaquay::scenarios {

/// One caller as a careful customer would write it: honours `Retry-After`, goes to another
/// entrypoint after a fault, resumes a stream at its last event, and asks again with the same
/// `Idempotency-Key`.
class caller {
public:
    /// @param phase  of the load that the caller belongs to
    caller(const load_profile& terms, std::vector<entrypoint> nodes, std::uint64_t seed,
           const std::atomic<load_phase>& phase);

    /// Makes the next call and returns when it has ended for good.
    call_record make_call(std::int64_t id);

    /// Pause before the next call in milliseconds.
    std::int64_t pause_ms();

private:
    call_record new_call(std::int64_t id);
    attempt start_attempt(const entrypoint& node) const;
    http_request_options completion_terms(const call_record& call, const entrypoint& node,
                                          bool streamed) const;
    attempt try_once(call_record& call, const entrypoint& node);
    /// Two copies of one service call at once; an answered one comes last.
    void try_duplicates(call_record& call, const entrypoint& node);
    /// A service call, its answer in `answer`. Uses no member that a twin changes.
    http_reply call_service(const call_record& call, const entrypoint& node, attempt& tried,
                            std::string& answer) const;
    void try_completion(call_record& call, const entrypoint& node, attempt& tried);
    void try_stream(call_record& call, const entrypoint& node, attempt& tried);
    /// True where another attempt makes sense; waits as long as the reply asked for.
    bool wait_for_retry(const call_record& call, const attempt& tried);

    const load_profile terms_;
    directory directory_;
    std::mt19937_64 random_;
    const std::atomic<load_phase>& phase_;
    std::int64_t retry_after_ms_ = 0;
    /// Last event of the stream under way, for its resumption.
    std::string last_event_id_;
    std::int64_t gives_up_at_ms_ = 0;
};

}  // namespace fuchsiaquay::scenarios
