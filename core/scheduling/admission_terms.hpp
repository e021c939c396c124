#pragma once

namespace fuchsiaquay {

/// How a queue policy wants a request let in.
struct admission_terms {
    /// Priority at the engine, 0 is the most urgent.
    int engine_priority = 0;
    /// The level of the request waits and is served less than its floor.
    bool floor_due = false;
    /// The customer has used more than its share of late.
    bool over_share = false;
};

}  // namespace fuchsiaquay
