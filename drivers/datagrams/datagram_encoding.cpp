/// @file
/// The part of the datagram codec that writes messages.

#include <vector>

#include "core/freshness/store_revision.hpp"
#include "drivers/datagrams/datagram_codec.hpp"
#include "drivers/datagrams/datagram_generated.h"

namespace fuchsiaquay {

namespace {

using builder_type = flatbuffers::FlatBufferBuilder;
using string_list = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;
using quarantined_list = flatbuffers::Vector<flatbuffers::Offset<wire::quarantined_part>>;
using rate_limit_list = flatbuffers::Vector<flatbuffers::Offset<wire::rate_limit>>;

std::uint64_t incarnation_number(const host_record& host) {
    return static_cast<std::uint64_t>(revision_number(static_cast<std::int64_t>(host.incarnation)));
}

std::int64_t incarnation_era(const host_record& host) {
    return era_of(static_cast<std::int64_t>(host.incarnation));
}

/// Visitor that encodes each type of message.
struct message_writer {
    builder_type& builder;
    instant now;

    void operator()(const announcement& message) const {
        std::vector<flatbuffers::Offset<wire::work>> works;
        works.reserve(message.works.size());
        for (const engine_work& item : message.works) {
            works.push_back(write_work(item));
        }
        const auto host = builder.CreateString(message.sender.host);
        // Receivers know the sender's addresses from its complete announcements; the others omit
        // them.
        const auto create_if_complete = [this, &message](const std::string& text) {
            return message.complete ? builder.CreateString(text) : 0;
        };
        const auto data_centre = create_if_complete(message.sender.data_centre);
        const auto callers = create_if_complete(message.sender.caller_address.text());
        const auto datagrams = create_if_complete(message.sender.datagram_address.text());
        const auto queries = create_if_complete(message.sender.query_address.text());
        const auto work_list = builder.CreateVector(works);
        std::vector<flatbuffers::Offset<wire::slow_engine>> slow;
        for (const slow_engine& item : message.slow_engines) {
            const auto id = builder.CreateString(item.id);
            slow.push_back(wire::Createslow_engine(builder, id, static_cast<float>(item.slowdown)));
        }
        const auto slow_list = slow.empty() ? 0 : builder.CreateVector(slow);
        const prompt_part_report& prompt_parts = message.prompt_parts;
        const auto ends = write_ends(prompt_parts.ends);
        const auto gone = write_lifetimes(prompt_parts.gone_engines);
        const auto answered = write_strings(prompt_parts.answered);
        const auto quarantined = write_quarantined(prompt_parts.quarantined);
        const auto rate_limits = write_rate_limits(message.rate_limits);
        finish(
            wire::message_announcement,
            wire::Createannouncement(
                builder, host, data_centre, callers, datagrams, queries,
                incarnation_number(message.sender), static_cast<std::uint8_t>(message.state),
                message.sequence, revision_number(message.configuration_revision), message.complete,
                work_list, slow_list, message.forward, message.sender.processor_share,
                message.requests_per_s, ends, answered, quarantined, rate_limits, gone,
                incarnation_era(message.sender), era_of(message.configuration_revision))
                .Union());
    }

    /// Empty lists are omitted.
    flatbuffers::Offset<string_list> write_strings(const std::vector<std::string>& texts) const {
        return texts.empty() ? 0 : builder.CreateVectorOfStrings(texts);
    }

    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::engine_end>>> write_ends(
        const std::vector<engine_end>& items) const {
        std::vector<flatbuffers::Offset<wire::engine_end>> ends;
        for (const engine_end& item : items) {
            const auto engine = builder.CreateString(item.engine.id);
            const auto parts = write_strings(item.parts);
            ends.push_back(wire::Createengine_end(
                builder, engine, item.subject, parts, (now - item.ended_at).count(),
                item.looked_complete, item.engine.started_at_ms, item.lasted.count()));
        }
        return ends.empty() ? 0 : builder.CreateVector(ends);
    }

    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::upstream_lifetime>>>
    write_lifetimes(const std::vector<upstream_lifetime>& items) const {
        std::vector<flatbuffers::Offset<wire::upstream_lifetime>> lifetimes;
        for (const upstream_lifetime& item : items) {
            const auto id = builder.CreateString(item.id);
            lifetimes.push_back(wire::Createupstream_lifetime(builder, id, item.started_at_ms));
        }
        return lifetimes.empty() ? 0 : builder.CreateVector(lifetimes);
    }

    flatbuffers::Offset<quarantined_list> write_quarantined(
        const std::vector<quarantined_part>& items) const {
        std::vector<flatbuffers::Offset<wire::quarantined_part>> parts;
        for (const quarantined_part& item : items) {
            const auto id = builder.CreateString(item.id);
            parts.push_back(wire::Createquarantined_part(builder, id, (item.until - now).count()));
        }
        return parts.empty() ? 0 : builder.CreateVector(parts);
    }

    flatbuffers::Offset<wire::work> write_work(const engine_work& item) const {
        const auto engine = builder.CreateString(item.engine);
        const auto phase = static_cast<std::uint8_t>(item.phase);
        if (item.phase == work_phase::ended) {
            // Omitted fields take no space in the encoded table.
            return wire::Creatework(builder, item.key, engine, phase);
        }
        return wire::Creatework(
            builder, item.key, engine, phase, item.prefill_tokens, item.prefill_time.count(),
            item.memory_tokens, item.target_gap.count(), (now - item.dispatched_at).count(),
            item.account, static_cast<std::uint8_t>(item.rank), item.engine_time.count());
    }

    flatbuffers::Offset<rate_limit_list> write_rate_limits(
        const std::vector<rate_limit_notice>& items) const {
        std::vector<flatbuffers::Offset<wire::rate_limit>> notices;
        for (const rate_limit_notice& item : items) {
            const auto upstream = builder.CreateString(item.upstream);
            notices.push_back(wire::Createrate_limit(
                builder, upstream, item.requests_per_s.has_value(),
                item.requests_per_s.value_or(0.0), (now - item.named_at).count()));
        }
        return notices.empty() ? 0 : builder.CreateVector(notices);
    }

    void operator()(const view_request& message) const {
        const auto sender = builder.CreateString(message.sender.host);
        const auto data_centre = builder.CreateString(message.sender.data_centre);
        const auto datagrams = builder.CreateString(message.sender.datagram_address.text());
        finish(wire::message_view_request,
               wire::Createview_request(builder, sender, message.nonce,
                                        revision_number(message.catalogue_revision), data_centre,
                                        datagrams, message.sender.processor_share, message.standby,
                                        era_of(message.catalogue_revision))
                   .Union());
    }

    flatbuffers::Offset<wire::host> write_host(const reported_host& item) const {
        const host_record& record = item.record;
        const auto name = builder.CreateString(record.host);
        const auto data_centre = builder.CreateString(record.data_centre);
        const auto callers = builder.CreateString(record.caller_address.text());
        const auto datagrams = builder.CreateString(record.datagram_address.text());
        const auto queries = builder.CreateString(record.query_address.text());
        return wire::Createhost(builder, name, data_centre, callers, datagrams, queries,
                                record.processor_share, incarnation_number(record),
                                static_cast<std::uint8_t>(item.state), item.age.count(),
                                incarnation_era(record));
    }

    void operator()(const view_reply& message) const {
        std::vector<flatbuffers::Offset<wire::host>> hosts;
        for (const reported_host& item : message.serving_hosts) {
            hosts.push_back(write_host(item));
        }
        std::vector<flatbuffers::Offset<wire::upstream_change>> changes;
        for (const upstream_change& item : message.catalogue.changes) {
            const auto id = builder.CreateString(item.entry.id);
            const auto service = builder.CreateString(item.entry.service);
            const auto address = builder.CreateString(item.entry.address.text());
            const auto data_centre = builder.CreateSharedString(item.entry.data_centre);
            changes.push_back(wire::Createupstream_change(
                builder, id, service, address, item.entry.slots,
                static_cast<std::uint8_t>(item.entry.state), item.removed,
                revision_number(item.revision), item.entry.started_at_ms, data_centre,
                item.entry.cold_time.count(), era_of(item.revision)));
        }
        const auto sender = builder.CreateString(message.sender);
        const auto change_list = builder.CreateVector(changes);
        const auto serving = hosts.empty() ? 0 : builder.CreateVector(hosts);
        const auto quarantined = write_quarantined(message.quarantined_parts);
        const auto rate_limits = write_rate_limits(message.rate_limits);
        const auto& names = message.evacuations.data_centres();
        const auto evacuated = write_strings({names.begin(), names.end()});
        finish(
            wire::message_view_reply,
            wire::Createview_reply(
                builder, sender, message.nonce, revision_number(message.configuration_revision),
                message.configuration_age.count(), message.catalogue_age.count(),
                message.catalogue.complete, revision_number(message.catalogue.revision),
                change_list, serving, message.invitation, message.catalogue_left_out, quarantined,
                rate_limits, evacuated, revision_number(message.evacuations.revision()),
                revision_number(message.evacuations_as_of), era_of(message.configuration_revision),
                era_of(message.catalogue.revision), era_of(message.evacuations.revision()),
                era_of(message.evacuations_as_of))
                .Union());
    }

private:
    void finish(wire::message kind, flatbuffers::Offset<void> body) const {
        builder.Finish(wire::Createdatagram(builder, kind, body));
    }
};

}  // namespace

std::string encode_datagram(const peer_datagram& message, instant now) {
    builder_type builder;
    std::visit(message_writer{builder, now}, message);
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

}  // namespace fuchsiaquay
