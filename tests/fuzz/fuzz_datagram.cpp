/// @file
/// A datagram of any bytes is either refused with an operation_error or encodes to a datagram that
/// decodes again. Odd inputs mutate a valid announcement.

#include <string>
#include <variant>

#include "core/error/operation_error.hpp"
#include "core/fleet/announcement.hpp"
#include "drivers/datagrams/datagram_codec.hpp"
#include "tests/fuzz/mutation.hpp"

namespace {

using namespace fuchsiaquay;

std::string valid_announcement(instant now) {
    announcement message;
    message.sender.host = "h1";
    message.sender.data_centre = "dc";
    message.sender.caller_address = {"10.0.0.1", 80};
    message.sender.datagram_address = {"10.0.0.1", 81};
    message.sender.query_address = {"10.0.0.1", 82};
    message.complete = true;
    message.works.resize(2);
    return encode_datagram(message, now);
}

}  // namespace

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const instant now = instant(std::chrono::seconds(1'000));
    static const std::string valid = valid_announcement(now);
    if (size == 0) {
        return 0;
    }
    const bool change = (data[0] & 1) != 0;
    const std::string bytes = change ? fuzz::mutate(valid, data + 1, size - 1)
                                     : std::string(reinterpret_cast<const char*>(data), size);
    try {
        const peer_datagram message = decode_datagram(bytes, now);
        decode_datagram(encode_datagram(message, now), now);
    } catch (const operation_error&) {
        return 0;
    }
    return 0;
}
