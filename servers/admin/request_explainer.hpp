#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/identity/names.hpp"
#include "core/routing/scored_candidate.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// A request that an operator asks about; nothing is run.
struct explain_request {
    customer_id customer;
    /// Rank by name; empty for the contract's first.
    std::string rank_name;
    /// One of the two is set.
    model_id model;
    service_id service;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
};

/// Where such a request would go now, and why.
struct explanation {
    /// Empty when the request would be served; otherwise the code and message of the refusal.
    std::string refusal_code;
    std::string refusal_message;
    std::string rank_name;
    int level = 0;
    std::int64_t contract_revision = 0;
    duration deadline{};
    /// Price in the units of the scheduler, with a word for each part.
    std::vector<std::pair<std::string, double>> price;
    /// Host that owns the best candidate.
    host_id owner;
    /// Best first.
    std::vector<scored_candidate> candidates;
};

/// Answers why a request would go where.
class request_explainer {
public:
    request_explainer() = default;
    request_explainer(const request_explainer&) = delete;
    request_explainer& operator=(const request_explainer&) = delete;
    virtual ~request_explainer() = default;

    /// Calls `done` once, now or later, on the control thread.
    virtual void explain(const explain_request& request,
                         const std::function<void(const explanation&)>& done) = 0;
};

}  // namespace fuchsiaquay
