#pragma once

namespace fuchsiaquay {

/// State of a circuit breaker.
enum class breaker_state { closed, open, half_open };

}  // namespace fuchsiaquay
