#pragma once

namespace fuchsiaquay {

/// Decision of an owner about a reservation.
enum class reserve_outcome { granted, queued, refused };

}  // namespace fuchsiaquay
