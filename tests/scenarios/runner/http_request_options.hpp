#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace fuchsiaquay::scenarios {

/// One HTTP call to a port on 127.0.0.1.
struct http_request_options {
    std::string method = "GET";
    std::uint16_t port = 0;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Time limit of the whole call including its body.
    std::chrono::milliseconds limit{5000};
};

}  // namespace fuchsiaquay::scenarios
