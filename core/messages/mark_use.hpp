#pragma once

namespace fuchsiaquay {

/// What the writer of a journal mark knows about it. `never_used` is final: the mark was abandoned
/// before any call under it and never will be used.
enum class mark_use { unknown, never_used, used };

}  // namespace fuchsiaquay
