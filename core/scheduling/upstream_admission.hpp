#pragma once

#include "core/scheduling/admission_check.hpp"
#include "core/scheduling/admission_state.hpp"

namespace fuchsiaquay {

class grant_table;
class queue_policy;
struct upstream_settings;

/// Decides whether an upstream can take a request now. Checks the memory and the number of streams,
/// both with the floors of the other levels held free, the prefill work already granted ahead, and
/// the bounded share of the speed for long prompts. Keeps references to the settings, grants and
/// policy.
class upstream_admission final : public admission_check {
public:
    upstream_admission(const upstream_settings& settings, const grant_table& grants,
                       const queue_policy& policy, const admission_state& state);

    bool fits(const queued_request& queued, const admission_terms& terms) const override;

private:
    bool fits_memory(const queued_request& queued) const;
    bool fits_count(const queued_request& queued) const;
    bool fits_rebuild(const queued_request& queued) const;
    bool fits_long(const queued_request& queued) const;
    bool fits_short(const queued_request& queued, const admission_terms& terms) const;
    bool takes_long_memory(const queued_request& queued) const;

    const upstream_settings& settings_;
    const grant_table& grants_;
    const queue_policy& policy_;
    admission_state state_;
};

}  // namespace fuchsiaquay
