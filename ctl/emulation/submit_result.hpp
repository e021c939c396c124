#pragma once

namespace fuchsiaquay {

/// Answer of an engine to a new stream.
enum class submit_result { accepted, out_of_memory, duplicate };

}  // namespace fuchsiaquay
