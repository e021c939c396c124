#pragma once

namespace fuchsiaquay {

/// Work that the engine is assumed to have done for one level.
struct served_work {
    int level = 0;
    bool is_long = false;
    double tokens = 0.0;
};

}  // namespace fuchsiaquay
