#pragma once

#include "core/routing/length_aware_settings.hpp"
#include "core/routing/upstream_selector.hpp"

namespace fuchsiaquay {

/// Orders upstreams by the expected time to the first token, with separate rules for short and long
/// prompts.
///
/// Long prompts fill the upstreams in an order that all entry hosts share. They use another
/// upstream only when the wait exceeds `max_long_wait`. The set of upstreams that serve long
/// prompts therefore grows and shrinks with demand, without coordination between the hosts. Short
/// prompts avoid these upstreams if others are as good. Cached tokens count as saved prefill only
/// where the upstream is not busy, so that prefix affinity does not overload one upstream.
class length_aware_selector final : public upstream_selector {
public:
    explicit length_aware_selector(const length_aware_settings& settings);

    std::vector<scored_candidate> order(const routing_request& request,
                                        const std::vector<routing_candidate>& candidates,
                                        instant now) override;
    std::string name() const override;

private:
    scored_candidate score_short(const routing_request& request,
                                 const routing_candidate& candidate) const;
    std::vector<scored_candidate> order_long(
        const routing_request& request, const std::vector<routing_candidate>& candidates) const;
    double prefill_seconds(double tokens) const { return tokens / settings_.tokens_per_second; }

    length_aware_settings settings_;
};

}  // namespace fuchsiaquay
