#pragma once

namespace fuchsiaquay {

/// Type of a gossip message in the protocol of the failure detector.
enum class gossip_kind { ping, ack, ping_request, join, join_reply };

}  // namespace fuchsiaquay
