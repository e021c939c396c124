#pragma once

namespace fuchsiaquay {

/// Whether the host that wrote a journal mark has called the service under it. `never_used` is
/// final: the mark was abandoned before any call and will never be used.
enum class mark_use { unknown, never_used, used };

}  // namespace fuchsiaquay
