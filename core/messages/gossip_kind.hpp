#pragma once

namespace fuchsiaquay {

/// Step of the failure detector that a gossip message belongs to.
enum class gossip_kind { ping, ack, ping_request, join, join_reply };

}  // namespace fuchsiaquay
