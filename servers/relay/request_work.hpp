#pragma once

#include <cstdint>
#include <vector>

#include "core/placement/engine_work.hpp"

namespace fuchsiaquay {

class engine_work_table;
struct caller_request;
struct engine_profile;
struct placement_decision;
struct route;

/// The work of one request at upstreams, as registered in the work table and announced to the other
/// hosts.
class request_work {
public:
    explicit request_work(engine_work_table& work_table) : work_table_(&work_table) {}

    /// Sets the client account and the rank that the work counts for.
    /// @param account  `engine_account_key`; 0 if accounts do not compete for the engines
    void set_account(std::uint64_t account, int rank);
    /// Registers the request among the waiting long prompts; does nothing for short prompts.
    /// @param late_at  when the first event becomes late
    void wait(std::uint64_t key, const engine_profile& profile, std::int64_t prompt_tokens,
              instant late_at);
    /// Registers the load of the request on the engines of `decision`.
    /// @param profile  null for plain services
    void dispatch(std::uint64_t key, const placement_decision& decision,
                  const caller_request& request, const engine_profile* profile,
                  const route& matched_route, instant now);
    /// Whether another request claimed one of the engines at the same time and takes precedence.
    bool claim_lost() const;
    void advance(work_phase phase);
    /// True from the dispatch until the first event.
    bool awaiting_first_event() const;

private:
    /// Never null.
    engine_work_table* work_table_;
    std::uint64_t account_ = 0;
    int rank_ = 0;
    std::vector<engine_work> work_items_;
};

}  // namespace fuchsiaquay
