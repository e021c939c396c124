#pragma once

namespace fuchsiaquay {

/// Progress of a request on an engine.
enum class work_phase {
    /// The request waits on its host for an engine.
    waiting,
    /// The engine processes the prompt or has it queued.
    prefill,
    /// Events have arrived.
    decode,
    /// The request has left the engine.
    ended,
};

}  // namespace fuchsiaquay
