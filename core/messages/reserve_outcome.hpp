#pragma once

namespace fuchsiaquay {

/// What an owner decided about a reservation.
enum class reserve_outcome { granted, queued, refused };

}  // namespace fuchsiaquay
