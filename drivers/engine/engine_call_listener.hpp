#pragma once

#include <vector>

namespace fuchsiaquay {

struct engine_outcome;
struct token_event;

/// Receives the tokens and the end of one engine call. The functions are called on threads of the
/// HTTP library, never concurrently.
class engine_call_listener {
public:
    engine_call_listener() = default;
    engine_call_listener(const engine_call_listener&) = delete;
    engine_call_listener& operator=(const engine_call_listener&) = delete;
    virtual ~engine_call_listener() = default;

    /// Called with the tokens that arrived together, in order.
    virtual void on_tokens(const std::vector<token_event>& events) = 0;
    /// Called once, after the last token.
    virtual void on_end(const engine_outcome& outcome) = 0;
};

}  // namespace fuchsiaquay
