#pragma once

#include <functional>
#include <string>

#include "tests/scenarios/runner/http_reply.hpp"
#include "tests/scenarios/runner/http_request_options.hpp"

namespace fuchsiaquay::scenarios {

/// Makes one call on a connection of its own and waits for the whole reply.
http_reply call_http(const http_request_options& terms);

/// As `call_http`, and hands over each line of a successful reply as it comes, without its end.
http_reply stream_http(const http_request_options& terms,
                       const std::function<void(const std::string& line)>& on_line);

}  // namespace fuchsiaquay::scenarios
