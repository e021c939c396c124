#include "core/scheduling/share_limit.hpp"

namespace fuchsiaquay {

share_verdict limit_to_share(const share_standing& standing, duration needed_time,
                             duration time_left) {
    if (!standing.over()) {
        return share_verdict::admit;
    }
    return standing.free_in + needed_time <= time_left ? share_verdict::wait
                                                       : share_verdict::refuse;
}

}  // namespace fuchsiaquay
