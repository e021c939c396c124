#pragma once

namespace fuchsiaquay {

/// How far an engine is with a request.
enum class work_phase {
    /// Waits at its host for an engine.
    waiting,
    /// Its prompt is read or waits to be read.
    prefill,
    /// Events have come.
    decode,
    /// Gone from the engine.
    ended,
};

}  // namespace fuchsiaquay
