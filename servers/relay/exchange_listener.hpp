#pragma once

#include <string_view>

#include "core/relay/response_head.hpp"
#include "servers/relay/exchange_failure.hpp"

namespace fuchsiaquay {

/// Receives the response of an upstream. `on_end` and `on_failure` are final: no call follows.
class exchange_listener {
public:
    exchange_listener() = default;
    exchange_listener(const exchange_listener&) = delete;
    exchange_listener& operator=(const exchange_listener&) = delete;
    virtual ~exchange_listener() = default;

    virtual void on_head(response_head head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_end() = 0;
    virtual void on_failure(const exchange_failure& failure) = 0;
};

}  // namespace fuchsiaquay
