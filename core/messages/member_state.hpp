#pragma once

namespace fuchsiaquay {

/// State of a host in the membership. Order matters: at equal incarnation the later one wins.
enum class member_state { alive, suspect, leaving, dead };

}  // namespace fuchsiaquay
