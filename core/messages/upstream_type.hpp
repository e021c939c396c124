#pragma once

namespace fuchsiaquay {

/// What an upstream serves.
enum class upstream_type { engine, service };

}  // namespace fuchsiaquay
