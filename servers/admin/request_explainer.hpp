#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/identity/names.hpp"
#include "core/routing/scored_candidate.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Hypothetical request whose routing an operator wants explained. It is not run.
struct explain_request {
    customer_id customer;
    /// Name of the rank; empty for the first rank of the contract.
    std::string rank_name;
    /// Either the model or the service is set.
    model_id model;
    service_id service;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
};

/// How such a request would be routed now, and why.
struct explanation {
    /// Code and message of the refusal; empty if the request would be served.
    std::string refusal_code;
    std::string refusal_message;
    std::string rank_name;
    int level = 0;
    std::int64_t contract_revision = 0;
    duration deadline{};
    /// Cost of the request in scheduler units, as named components.
    std::vector<std::pair<std::string, double>> price;
    /// Host that owns the best candidate.
    host_id owner;
    /// Candidates, best first.
    std::vector<scored_candidate> candidates;
};

/// Explains how a request would be routed.
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
