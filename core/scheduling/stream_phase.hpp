#pragma once

namespace fuchsiaquay {

/// Phase of a stream in an engine's list.
enum class stream_phase { waiting, prefill, decode, held };

}  // namespace fuchsiaquay
