#include "drivers/announcements/announcement_codec.hpp"

#include <algorithm>
#include <vector>

#include "core/error/step_error.hpp"
#include "drivers/announcements/announcement_generated.h"

namespace fuchsiaquay {

namespace {

std::string text_of(const flatbuffers::String* text) {
    return text == nullptr ? "" : text->str();
}

engine_work read_work(const wire::work& item, instant now) {
    engine_work result;
    result.key = item.key();
    result.engine = text_of(item.engine());
    result.phase = static_cast<work_phase>(
        std::min<std::uint8_t>(item.phase(), static_cast<std::uint8_t>(work_phase::ended)));
    result.read_tokens = item.read_tokens();
    result.read_time = duration(item.read_us());
    result.memory_tokens = item.memory_tokens();
    result.target_gap = duration(item.gap_us());
    result.dispatched_at = now - duration(item.age_us());
    return result;
}

}  // namespace

std::string encode_announcement(const announcement& message, instant now) {
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::work>> works;
    works.reserve(message.works.size());
    for (const engine_work& item : message.works) {
        const auto engine = builder.CreateString(item.engine);
        works.push_back(wire::Creatework(
            builder, item.key, engine, static_cast<std::uint8_t>(item.phase), item.read_tokens,
            item.read_time.count(), item.memory_tokens, item.target_gap.count(),
            (now - item.dispatched_at).count()));
    }
    const auto host = builder.CreateString(message.sender.host);
    const auto data_centre = builder.CreateString(message.sender.data_centre);
    const auto callers = builder.CreateString(message.sender.callers.text());
    const auto announcements = builder.CreateString(message.sender.announcements.text());
    const auto list = builder.CreateVector(works);
    builder.Finish(wire::Createannouncement(
        builder, host, data_centre, callers, announcements, message.sender.incarnation,
        static_cast<std::uint8_t>(message.state), message.sequence, message.complete, list));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

announcement decode_announcement(std::string_view bytes, instant now) {
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                   bytes.size());
    if (!verifier.VerifyBuffer<wire::announcement>(nullptr)) {
        throw step_error("decode announcement", "peer", "the bytes are no announcement");
    }
    const auto* root = flatbuffers::GetRoot<wire::announcement>(bytes.data());
    announcement result;
    result.sender.host = text_of(root->host());
    result.sender.data_centre = text_of(root->data_centre());
    result.sender.callers = parse_network_address(text_of(root->callers()));
    result.sender.announcements = parse_network_address(text_of(root->announcements()));
    result.sender.incarnation = root->incarnation();
    if (result.sender.host.empty() || result.sender.callers.empty() ||
        result.sender.announcements.empty()) {
        throw step_error("decode announcement", result.sender.host, "no host or no address");
    }
    result.state = static_cast<host_state>(
        std::min<std::uint8_t>(root->state(), static_cast<std::uint8_t>(host_state::leaving)));
    result.sequence = root->sequence();
    result.complete = root->complete();
    if (root->works() != nullptr) {
        for (const wire::work* item : *root->works()) {
            result.works.push_back(read_work(*item, now));
        }
    }
    return result;
}

}  // namespace fuchsiaquay
