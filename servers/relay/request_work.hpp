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

/// What one request means for the load of upstreams, kept on the board that the hosts share.
class request_work {
public:
    explicit request_work(engine_work_table& board) : board_(board) {}

    /// Takes a place in the order of long prompts that wait; short ones take none.
    /// @param late_at  when the first event becomes late
    void wait(std::uint64_t key, const engine_profile& profile, std::int64_t prompt_tokens,
              instant late_at);
    /// The request goes to the engines of `decision`.
    /// @param profile  null for plain services
    void dispatch(std::uint64_t key, const placement_decision& decision,
                  const caller_request& request, const engine_profile* profile, const route& terms,
                  instant now);
    /// Whether another request took one of the engines at the same moment and goes first.
    bool contested() const;
    void advance(work_phase phase);
    /// True from the dispatch until the first event.
    bool reading() const;

private:
    engine_work_table& board_;
    std::vector<engine_work> works_;
};

}  // namespace fuchsiaquay
