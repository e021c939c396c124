#pragma once

namespace fuchsiaquay {

/// Sets the number of traffic threads of the HTTP library. Call once, before any HTTP object. The
/// library's own choice of 40 spends most of its time waking them.
void set_http_thread_count(int count);

}  // namespace fuchsiaquay
