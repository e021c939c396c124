#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/contract/contract.hpp"
#include "core/request/dispatch_plan.hpp"
#include "core/request/request_context.hpp"
#include "core/routing/routing_request.hpp"
#include "core/routing/scored_candidate.hpp"
#include "servers/journal/journal_token.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class request_listener;

/// State of one request while it passes through the filters. Used on the control thread only.
class request_flow {
public:
    request_flow(request_context context, std::shared_ptr<request_listener> listener)
        : context_(std::move(context)), listener_(std::move(listener)) {}

    const request_context& context() const noexcept { return context_; }
    /// Null once the request has ended.
    const std::shared_ptr<request_listener>& listener() const noexcept { return listener_; }

    bool ended() const noexcept { return ended_; }
    void mark_ended() noexcept {
        ended_ = true;
        listener_.reset();
    }

    /// Set by the contract filter.
    std::shared_ptr<const contract> terms;
    rank chosen_rank;
    instant deadline{};
    /// Set by the contract filter for service calls.
    bool repeatable = true;

    /// Set by the deduplicate filter while the journal holds a started entry.
    std::optional<journal_token> journal_entry;

    /// Upstreams that failed this request.
    std::set<upstream_id> excluded;
    /// Set by the route filter for completions: the routing request, and the choices, best first.
    routing_request routing;
    std::vector<scored_candidate> choices;
    /// Set by the route filter for service calls: the replica whose call count includes this
    /// request.
    upstream_id counted_service;
    /// Number of prompt tokens expected in the cache of the chosen upstream.
    std::int64_t expected_cached_tokens = 0;

    /// Id of this attempt's reservation. Set by the reserve filter.
    request_id reservation_id;

    /// Filled in by the attempt filters.
    dispatch_plan plan;
    int attempts = 0;
    std::int64_t delivered_tokens = 0;
    /// True while an attempt is running at an upstream.
    bool dispatched = false;
    timer_service::subscription deadline_timer = 0;

    /// Number of filters whose `admit` was called; `finish` is called on exactly these.
    std::size_t request_filters_passed = 0;
    std::size_t attempt_filters_passed = 0;

private:
    request_context context_;
    std::shared_ptr<request_listener> listener_;
    bool ended_ = false;
};

}  // namespace fuchsiaquay
