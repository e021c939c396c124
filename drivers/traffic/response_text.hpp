#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsiaquay {

struct response_head;

/// Last chunk of a chunked response.
constexpr std::string_view last_chunk = "0\r\n\r\n";

/// Appends status line and headers, including the blank line.
/// @param body_bytes  length of the body; empty for a chunked response
void append_response_head(std::string& text, const response_head& head, bool keep_alive,
                          std::optional<std::size_t> body_bytes);
/// Appends one chunk of a chunked response. `bytes` must not be empty.
void append_chunk(std::string& text, std::string_view bytes);

}  // namespace fuchsiaquay
