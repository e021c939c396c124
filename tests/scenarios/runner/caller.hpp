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

/// A well-behaved client: honours `Retry-After`, switches to another entrypoint after a fault,
/// resumes a stream after its last event, and retries with the same `Idempotency-Key`.
class caller {
public:
    /// @param phase  phase of the load to which the caller belongs
    caller(const load_profile& profile, std::vector<entrypoint> nodes, std::uint64_t seed,
           const std::atomic<load_phase>& phase);

    /// Makes the next call with all its retries and returns its record.
    call_record make_call(std::int64_t id);

    /// Pause before the next call in milliseconds.
    std::int64_t pause_ms();

private:
    call_record new_call(std::int64_t id);
    attempt start_attempt(const entrypoint& node) const;
    http_request_options completion_options(const call_record& call, const entrypoint& node,
                                            bool streamed) const;
    attempt try_once(call_record& call, const entrypoint& node);
    /// Sends two copies of a service call at once; an answered attempt is recorded last.
    void try_duplicates(call_record& call, const entrypoint& node);
    /// Makes a service call with its answer in `answer`. Uses no member that a concurrent copy
    /// changes.
    http_reply call_service(const call_record& call, const entrypoint& node, attempt& tried,
                            std::string& answer) const;
    void try_completion(call_record& call, const entrypoint& node, attempt& tried);
    void try_stream(call_record& call, const entrypoint& node, attempt& tried);
    /// Waits as long as the reply requested. Returns true if another attempt makes sense.
    bool wait_for_retry(const call_record& call, const attempt& tried);

    const load_profile profile_;
    directory directory_;
    std::mt19937_64 random_;
    const std::atomic<load_phase>& phase_;
    std::int64_t retry_after_ms_ = 0;
    /// Id of the last event of the current stream, for its resumption.
    std::string last_event_id_;
    std::int64_t retry_until_ms_ = 0;
};

}  // namespace fuchsiaquay::scenarios
