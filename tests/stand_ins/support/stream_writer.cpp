#include "tests/stand_ins/support/stream_writer.hpp"

namespace fuchsiaquay::stand_ins {

bool write_text(concurrency::streams::producer_consumer_buffer<std::uint8_t>& buffer,
                const std::string& text) {
    if (!buffer.can_write()) {
        return false;
    }
    try {
        // The buffer copies into its own memory and never blocks.
        buffer.putn_nocopy(reinterpret_cast<const std::uint8_t*>(text.data()), text.size()).wait();
        buffer.sync().wait();
    } catch (const std::exception&) {
        return false;
    }
    return true;
}

}  // namespace fuchsiaquay::stand_ins
