#include "servers/requests/contract_filter.hpp"

#include <algorithm>

#include "core/request/refusal.hpp"
#include "servers/requests/request_flow.hpp"
#include "servers/views/contract_view.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr duration not_ready_retry_after = std::chrono::seconds(1);

refusal make_refusal(int status, const char* code, const std::string& message) {
    refusal reason;
    reason.status = status;
    reason.code = code;
    reason.message = message;
    return reason;
}

refusal not_ready() {
    refusal reason = make_refusal(status_unavailable, "contracts_unknown",
                                  "this host has not yet caught up with the contracts");
    reason.retry_after = not_ready_retry_after;
    return reason;
}

const rank* find_rank(const contract& terms, const std::string& name) {
    if (name.empty()) {
        return &terms.ranks.front();
    }
    const auto found = std::find_if(terms.ranks.begin(), terms.ranks.end(),
                                    [&name](const rank& item) { return item.name == name; });
    return found == terms.ranks.end() ? nullptr : &*found;
}

const service_terms* find_service(const contract& terms, const service_id& service) {
    const auto found =
        std::find_if(terms.services.begin(), terms.services.end(),
                     [&service](const service_terms& item) { return item.service == service; });
    return found == terms.services.end() ? nullptr : &*found;
}

}  // namespace

void contract_filter::admit(const std::shared_ptr<request_flow>& flow,
                            const filter_callbacks& callbacks) {
    if (!contracts_.ready()) {
        callbacks.refuse(not_ready());
        return;
    }
    const request_context& context = flow->context();
    const std::shared_ptr<const contract> terms = contracts_.find_by_key(context.key_digest);
    if (!terms) {
        callbacks.refuse(
            make_refusal(status_unauthorized, "unknown_key", "no contract holds this caller key"));
        return;
    }
    const rank* chosen = find_rank(*terms, context.rank_name);
    if (chosen == nullptr) {
        callbacks.refuse(make_refusal(status_bad_request, "unknown_rank",
                                      "the contract has no rank '" + context.rank_name + "'"));
        return;
    }
    flow->terms = terms;
    flow->chosen_rank = *chosen;
    if (context.kind == request_kind::service_call) {
        const service_terms* service = find_service(*terms, context.service);
        if (service == nullptr) {
            callbacks.refuse(make_refusal(status_forbidden, "service_not_in_contract",
                                          "the contract does not name this service"));
            return;
        }
        flow->repeatable = service->repeatable;
        flow->deadline = context.arrived + service->deadline;
        callbacks.proceed();
        return;
    }
    const bool allowed =
        std::find(terms->models.begin(), terms->models.end(), context.model) != terms->models.end();
    if (!allowed) {
        callbacks.refuse(make_refusal(status_not_found, "unknown_model",
                                      "the contract does not name this model"));
        return;
    }
    flow->deadline = context.arrived + chosen->deadline;
    callbacks.proceed();
}

}  // namespace fuchsiaquay
