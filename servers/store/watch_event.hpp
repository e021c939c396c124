#pragma once

#include <cstdint>

#include "servers/store/stored_value.hpp"

namespace fuchsiaquay {

/// One change reported by a watch. `value.revision` is the revision of the change.
struct watch_event {
    stored_value value;
    bool erased = false;
};

}  // namespace fuchsiaquay
