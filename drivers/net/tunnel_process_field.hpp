#pragma once

namespace fuchsiaquay {

/// Header field of the answer that opens a tunnel: a text that no other process of a host sends.
constexpr const char* tunnel_process_field = "Host-Process";

}  // namespace fuchsiaquay
