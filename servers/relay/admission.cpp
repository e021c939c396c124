#include "servers/relay/admission.hpp"

#include <utility>

#include "core/relay/caller_request.hpp"
#include "core/scheduling/engine_account_key.hpp"

namespace fuchsiaquay {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
/// Retry delay for callers while the configuration is missing or out of date. A host usually
/// receives the configuration within this time.
constexpr duration configuration_retry_after = std::chrono::milliseconds(700);

admission_result refuse(admission_result result, int status, const char* reason,
                        duration retry_after = {}) {
    result.refused = rejection{status, reason, retry_after};
    return result;
}

/// Refuses a request that names what the configuration does not contain. Such a status is final for
/// callers, so it is only given if no version that has to be in force can be missing here.
admission_result refuse_unknown(admission_result result, int status, const char* reason,
                                copy_state state) {
    return state == copy_state::current
               ? refuse(std::move(result), status, reason)
               : refuse(std::move(result), status_unavailable, "configuration_out_of_date",
                        configuration_retry_after);
}

}  // namespace

admission_result admit(const caller_request& request,
                       const std::shared_ptr<const fleet_configuration>& configuration,
                       copy_state state) {
    if (!configuration) {
        return refuse({}, status_unavailable, "no_configuration", configuration_retry_after);
    }
    admission_result result;
    if (state == copy_state::replaced) {
        return refuse({}, status_unavailable, "configuration_out_of_date",
                      configuration_retry_after);
    }
    result.configuration = configuration;
    result.matched_route = configuration->find_route(request.host, request.path());
    if (result.matched_route == nullptr) {
        return refuse_unknown(std::move(result), status_not_found, "no_route", state);
    }
    result.rank = result.matched_route->rank;
    if (configuration->requires_key() && !result.matched_route->is_public) {
        if (state == copy_state::expired) {
            return refuse(std::move(result), status_unavailable, "configuration_out_of_date",
                          configuration_retry_after);
        }
        const customer_terms* key_owner = configuration->find_customer(request.api_key);
        if (key_owner == nullptr) {
            return refuse_unknown(std::move(result), status_unauthorized, "unknown_key", state);
        }
        result.customer = key_owner->customer;
        result.rank = key_owner->rank.value_or(result.rank);
    }
    if (request.id.empty()) {
        return refuse(std::move(result), status_bad_request, "no_request_id");
    }
    result.service_name = choose_service(*result.matched_route, request.id);
    result.service = configuration->find_service(result.service_name);
    const bool is_engine = result.service != nullptr && result.service->engine.has_value();
    if (is_engine && !request.prompt_tokens) {
        return refuse(std::move(result), status_bad_request, "no_token_counts");
    }
    if (is_engine && !result.customer.empty() &&
        configuration->accounts_compete_for(result.service_name)) {
        result.account = engine_account_key(result.service_name, result.customer);
    }
    return result;
}

}  // namespace fuchsiaquay
