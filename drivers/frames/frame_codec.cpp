#include "drivers/frames/frame_codec.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <utility>

#include "drivers/frames/frame_error.hpp"
#include "drivers/frames/message_decoder.hpp"
#include "drivers/frames/message_encoder.hpp"

namespace fuchsiaquay {
namespace {

using mac_value = std::array<unsigned char, frame_codec::mac_bytes>;

constexpr unsigned bits_per_byte = 8;
constexpr unsigned low_byte = 0xFF;

const unsigned char* bytes_of(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

mac_value mac_of(const std::string& key, std::string_view table) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> full{};
    unsigned int length = 0;
    const unsigned char* made = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
                                     bytes_of(table), table.size(), full.data(), &length);
    mac_value mac{};
    if (made == nullptr || length < mac.size()) {
        throw frame_error("sign frame", "local", "HMAC-SHA256 failed");
    }
    std::copy_n(full.begin(), mac.size(), mac.begin());
    return mac;
}

void append_length(std::string& out, std::size_t length) {
    for (std::size_t i = 0; i < frame_codec::length_bytes; ++i) {
        out.push_back(static_cast<char>((length >> (bits_per_byte * i)) & low_byte));
    }
}

}  // namespace

frame_codec::frame_codec(cluster_keys keys) : keys_(std::move(keys)) {
    if (keys_.current.empty()) {
        throw frame_error("read cluster key", "local", "the key that signs frames is empty");
    }
}

std::string frame_codec::encode(const peer_frame& frame) const {
    flatbuffers::FlatBufferBuilder builder;
    encoded_body body;
    if (frame.message) {
        body = encode_message(builder, *frame.message);
    }
    const auto sender = builder.CreateString(frame.sender.value());
    flatbuffers::Offset<flatbuffers::String> receiver;
    if (!frame.receiver.empty()) {
        receiver = builder.CreateString(frame.receiver.value());
    }
    builder.Finish(wire::CreateFrame(builder, sender, receiver, frame.peer_port, frame.incarnation,
                                     frame.sequence, frame.acknowledged, body.type, body.offset));
    const std::size_t payload = mac_bytes + builder.GetSize();
    if (payload > max_payload_bytes) {
        throw frame_error("encode frame", "local",
                          "message of " + std::to_string(payload) + " bytes is too long");
    }
    const std::string_view table(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                                 builder.GetSize());
    std::string out;
    out.reserve(length_bytes + payload);
    append_length(out, payload);
    out.append(sign(table));
    return out;
}

std::string frame_codec::sign(std::string_view table) const {
    const mac_value mac = mac_of(keys_.current, table);
    std::string payload(reinterpret_cast<const char*>(mac.data()), mac.size());
    payload.append(table);
    return payload;
}

std::optional<std::size_t> frame_codec::payload_length(std::string_view header) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(header[i]))
                  << (bits_per_byte * i);
    }
    if (length <= mac_bytes || length > max_payload_bytes) {
        return std::nullopt;
    }
    return length;
}

bool frame_codec::authentic(std::string_view mac, std::string_view table) const {
    const mac_value expected = mac_of(keys_.current, table);
    if (CRYPTO_memcmp(mac.data(), expected.data(), expected.size()) == 0) {
        return true;
    }
    if (keys_.secondary.empty()) {
        return false;
    }
    const mac_value rotated = mac_of(keys_.secondary, table);
    return CRYPTO_memcmp(mac.data(), rotated.data(), rotated.size()) == 0;
}

std::optional<peer_frame> frame_codec::decode(std::string_view payload) const {
    if (payload.size() <= mac_bytes || payload.size() > max_payload_bytes) {
        return std::nullopt;
    }
    // FlatBuffers needs an aligned table, which the receive buffer does not guarantee; hence the
    // copy.
    const std::string table(payload.substr(mac_bytes));
    if (!authentic(payload.substr(0, mac_bytes), table)) {
        return std::nullopt;
    }
    flatbuffers::Verifier verifier(bytes_of(table), table.size());
    if (!wire::VerifyFrameBuffer(verifier)) {
        return std::nullopt;
    }
    const wire::Frame& wire_frame = *wire::GetFrame(table.data());
    if (wire_frame.sender() == nullptr || wire_frame.sender()->size() == 0) {
        return std::nullopt;
    }
    peer_frame frame;
    frame.sender = host_id(wire_frame.sender()->str());
    if (wire_frame.receiver() != nullptr) {
        frame.receiver = host_id(wire_frame.receiver()->str());
    }
    frame.peer_port = wire_frame.peer_port();
    frame.incarnation = wire_frame.incarnation();
    frame.sequence = wire_frame.sequence();
    frame.acknowledged = wire_frame.acknowledged();
    if (wire_frame.body_type() != wire::Body::NONE) {
        frame.message = decode_message(wire_frame);
        if (!frame.message) {
            return std::nullopt;
        }
    }
    return frame;
}

}  // namespace fuchsiaquay
