#pragma once

namespace fuchsiaquay {

/// Sets the number of threads of the HTTP library. Call once, before any HTTP object is created.
/// With the library's default of 40 threads most of the time is spent on waking them.
void set_http_thread_count(int count);

}  // namespace fuchsiaquay
