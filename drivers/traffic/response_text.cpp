#include "drivers/traffic/response_text.hpp"

#include <cstdio>

#include "core/relay/response_head.hpp"

namespace fuchsiaquay {

void append_response_head(std::string& text, const response_head& head, bool keep_alive,
                          std::optional<std::size_t> body_bytes) {
    text += "HTTP/1.1 " + std::to_string(head.status) + " " + head.reason + "\r\n";
    for (const header_field& field : head.headers) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (!keep_alive) {
        text += "Connection: close\r\n";
    }
    text += body_bytes ? "Content-Length: " + std::to_string(*body_bytes)
                       : std::string("Transfer-Encoding: chunked");
    text += "\r\n\r\n";
}

void append_chunk(std::string& text, std::string_view bytes) {
    char size[32];
    (void)std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    text.append(size).append(bytes).append("\r\n");
}

}  // namespace fuchsiaquay
