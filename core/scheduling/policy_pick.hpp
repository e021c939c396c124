#pragma once

#include "core/scheduling/admission_terms.hpp"
#include "core/scheduling/queued_request.hpp"

namespace fuchsiaquay {

/// A request taken from the queue and the terms on which it was admitted.
struct policy_pick {
    queued_request queued;
    admission_terms terms;
};

}  // namespace fuchsiaquay
