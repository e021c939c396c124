#pragma once

#include <cpprest/producerconsumerstream.h>

#include <cstdint>
#include <string>

namespace fuchsiaquay::stand_ins {

/// Appends text to a streamed reply. Returns false if the reader has closed the stream.
bool write_text(concurrency::streams::producer_consumer_buffer<std::uint8_t>& buffer,
                const std::string& text);

}  // namespace fuchsiaquay::stand_ins
