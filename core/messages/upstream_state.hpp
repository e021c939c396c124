#pragma once

namespace fuchsiaquay {

/// Whether an upstream may get new work. Order matters: of two opinions the later one wins.
enum class upstream_state { live, leaving, gone };

}  // namespace fuchsiaquay
