#pragma once

namespace fuchsiaquay {

/// Terms on which a queue policy admits a request.
struct admission_terms {
    /// Priority at the engine, 0 is the most urgent.
    int engine_priority = 0;
    /// The level of the request has waiting work and is served less than its floor.
    bool floor_due = false;
    /// The customer has recently used more than its share.
    bool over_share = false;
};

}  // namespace fuchsiaquay
