#pragma once

#include "core/scheduling/admission_terms.hpp"
#include "core/scheduling/queued_request.hpp"

namespace fuchsiaquay {

/// Tells a queue policy whether the upstream can take a request now.
class admission {
public:
    admission() = default;
    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;
    virtual ~admission() = default;

    /// True when memory and backlog allow `queued` under `terms`.
    virtual bool fits(const queued_request& queued, const admission_terms& terms) const = 0;
};

}  // namespace fuchsiaquay
