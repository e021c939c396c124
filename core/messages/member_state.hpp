#pragma once

namespace fuchsiaquay {

/// State of a host in the membership. Order matters: at equal incarnation the later state wins.
enum class member_state { alive, suspect, leaving, dead };

/// Text for logs and operators.
constexpr const char* to_string(member_state state) {
    switch (state) {
        case member_state::alive:
            return "alive";
        case member_state::suspect:
            return "suspect";
        case member_state::leaving:
            return "leaving";
        case member_state::dead:
            return "dead";
    }
    return "unknown";
}

}  // namespace fuchsiaquay
