#pragma once

#include "tests/stand_ins/platform/stored_entry.hpp"

namespace fuchsiaquay::stand_ins {

/// One change of a key. A deletion carries the key and the revision of the deletion only.
struct store_event {
    bool deleted = false;
    stored_entry entry;
};

}  // namespace fuchsiaquay::stand_ins
