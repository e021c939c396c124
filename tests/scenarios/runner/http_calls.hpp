#pragma once

#include <functional>
#include <string>

#include "tests/scenarios/runner/http_reply.hpp"
#include "tests/scenarios/runner/http_request_options.hpp"

namespace fuchsiaquay::scenarios {

/// Makes one call on a new connection and waits for the complete reply.
http_reply call_http(const http_request_options& options);

/// Like `call_http`, but passes each line of a successful reply to `on_line` as it arrives, without
/// its line end.
http_reply stream_http(const http_request_options& options,
                       const std::function<void(const std::string& line)>& on_line);

}  // namespace fuchsiaquay::scenarios
