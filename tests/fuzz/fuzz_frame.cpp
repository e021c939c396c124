/// @file
/// Bytes from a peer, authentic or not, either decode or yield nothing. Even inputs are signed
/// unchanged; odd inputs mutate a valid frame.

#include <string>

#include "drivers/frames/cluster_keys.hpp"
#include "drivers/frames/frame_codec.hpp"
#include "drivers/frames/peer_frame.hpp"
#include "tests/fuzz/mutation.hpp"

namespace {

using namespace fuchsiaquay;

std::string valid_table(const frame_codec& codec) {
    gossip_message gossip;
    gossip.subject = host_id("node-2");
    gossip.updates.resize(2);
    peer_frame frame;
    frame.sender = host_id("node-1");
    frame.message = gossip;
    return codec.encode(frame).substr(frame_codec::length_bytes + frame_codec::mac_bytes);
}

}  // namespace

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const frame_codec codec(cluster_keys{"fuzz-key", ""});
    static const std::string valid = valid_table(codec);
    if (size == 0) {
        return 0;
    }
    const std::string raw(reinterpret_cast<const char*>(data), size);
    frame_codec::payload_length(raw);
    codec.decode(raw);
    const bool change = (data[0] & 1) != 0;
    codec.decode(codec.sign(change ? fuzz::mutate(valid, data + 1, size - 1) : raw));
    return 0;
}
