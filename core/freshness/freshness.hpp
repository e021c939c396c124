#pragma once

#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// How long ago a copy was known to be current. Instants come from a clock that counts the time
/// during which the host was suspended.
class freshness {
public:
    /// @param bound  longest age at which the copy may still be relied on
    explicit freshness(duration bound) : bound_(bound) {}

    /// The copy was current at `as_of`. Earlier confirmations that arrive late change nothing.
    void confirm(instant as_of) {
        if (!known_ || as_of > confirmed_at_) {
            confirmed_at_ = as_of;
            known_ = true;
        }
    }
    bool is_current(instant now) const { return known_ && now - confirmed_at_ < bound_; }
    /// Time since the copy was last known to be current; the bound when it never was.
    duration age(instant now) const { return known_ ? now - confirmed_at_ : bound_; }

private:
    duration bound_;
    bool known_ = false;
    instant confirmed_at_{};
};

}  // namespace fuchsiaquay
