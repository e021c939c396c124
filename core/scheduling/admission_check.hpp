#pragma once

#include "core/scheduling/admission_terms.hpp"
#include "core/scheduling/queued_request.hpp"

namespace fuchsiaquay {

/// Interface through which a queue policy asks whether the upstream can take a request now.
class admission_check {
public:
    admission_check() = default;
    admission_check(const admission_check&) = delete;
    admission_check& operator=(const admission_check&) = delete;
    virtual ~admission_check() = default;

    /// Returns true if memory, number of streams and backlog allow `queued` under `terms`.
    virtual bool fits(const queued_request& queued, const admission_terms& terms) const = 0;
};

}  // namespace fuchsiaquay
