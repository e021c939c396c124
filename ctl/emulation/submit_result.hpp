#pragma once

namespace fuchsiaquay {

/// Result of submitting a stream to an engine.
enum class submit_result { accepted, out_of_memory, duplicate };

}  // namespace fuchsiaquay
