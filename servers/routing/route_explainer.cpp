#include "servers/routing/route_explainer.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "servers/requests/request_flow.hpp"
#include "servers/reservation/owner_locator.hpp"
#include "servers/routing/engine_router.hpp"
#include "servers/timer_service.hpp"
#include "servers/views/contract_view.hpp"
#include "servers/views/upstream_view.hpp"

namespace fuchsiaquay {

namespace {

explanation refused(const char* code, const std::string& message) {
    explanation result;
    result.refusal_code = code;
    result.refusal_message = message;
    return result;
}

const rank* find_rank(const contract& terms, const std::string& name) {
    const auto found =
        std::find_if(terms.ranks.begin(), terms.ranks.end(),
                     [&name](const rank& item) { return name.empty() || item.name == name; });
    return found == terms.ranks.end() ? nullptr : &*found;
}

request_context make_context(const explain_request& request, instant now) {
    request_context context;
    context.id = request_id("explain");
    context.model = request.model;
    context.prompt_tokens = request.prompt_tokens;
    context.max_tokens = request.max_tokens;
    context.arrived = now;
    return context;
}

}  // namespace

route_explainer::route_explainer(timer_service& timers, const contract_view& contracts,
                                 const upstream_view& upstreams, const owner_locator& owners,
                                 engine_router& router)
    : timers_(timers),
      contracts_(contracts),
      upstreams_(upstreams),
      owners_(owners),
      router_(router) {}

void route_explainer::explain(const explain_request& request,
                              const std::function<void(const explanation&)>& done) {
    done(explain_now(request));
}

explanation route_explainer::explain_now(const explain_request& request) const {
    const std::shared_ptr<const contract> terms = contracts_.find(request.customer);
    if (!terms) {
        return refused("unknown_customer", "no contract for this customer");
    }
    const rank* chosen = find_rank(*terms, request.rank_name);
    if (chosen == nullptr) {
        return refused("unknown_rank", "the contract has no such rank");
    }
    const instant now = timers_.now();
    request_flow flow(make_context(request, now), nullptr);
    flow.terms = terms;
    flow.chosen_rank = *chosen;
    flow.deadline = now + chosen->deadline;
    const routing_request routing = router_.make_routing_request(flow, now);
    explanation result;
    result.rank_name = chosen->name;
    result.level = chosen->level;
    result.contract_revision = terms->revision;
    result.deadline = chosen->deadline;
    result.candidates = router_.order_engines(flow, routing, now);
    result.price = {{"prompt_tokens", static_cast<double>(routing.prompt_tokens)},
                    {"expected_output_tokens", static_cast<double>(routing.expected_output_tokens)},
                    {"memory_tokens", static_cast<double>(routing.memory_tokens)}};
    if (result.candidates.empty()) {
        result.refusal_code = "no_upstream";
        result.refusal_message = "no live upstream serves the model";
        return result;
    }
    if (const auto target = upstreams_.find(result.candidates.front().upstream)) {
        if (const auto owner = owners_.owner_of(*target)) {
            result.owner = owner->host;
        }
    }
    return result;
}

}  // namespace fuchsiaquay
