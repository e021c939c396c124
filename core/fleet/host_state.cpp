#include "core/fleet/host_state.hpp"

namespace fuchsiaquay {

const char* name_of(host_state state) {
    switch (state) {
        case host_state::unready:
            return "unready";
        case host_state::ready:
            return "ready";
        case host_state::leaving:
            return "leaving";
        case host_state::standby:
            return "standby";
    }
    return "unready";
}

}  // namespace fuchsiaquay
