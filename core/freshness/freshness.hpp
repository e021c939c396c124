#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Tracks how long ago a copy was known to be current. Times must come from a clock that also
/// counts while the host is suspended.
class freshness {
public:
    /// @param bound  maximum age at which the copy may still be used
    explicit freshness(duration bound) : bound_(bound) {}

    /// Records that the copy was current at `as_of`. Earlier times that arrive late are ignored.
    void confirm(instant as_of) {
        if (!known_ || as_of > confirmed_at_) {
            confirmed_at_ = as_of;
            known_ = true;
        }
    }
    bool is_current(instant now) const { return known_ && now - confirmed_at_ < bound_; }
    /// Time since the copy was last known to be current; the bound if it never was.
    duration age(instant now) const { return known_ ? now - confirmed_at_ : bound_; }

private:
    duration bound_;
    bool known_ = false;
    instant confirmed_at_{};
};

}  // namespace fuchsiaquay
