#include "drivers/datagrams/datagram_codec.hpp"

#include <algorithm>
#include <vector>

#include "core/error/operation_error.hpp"
#include "drivers/datagrams/datagram_generated.h"

namespace fuchsiaquay {

namespace {

using builder_type = flatbuffers::FlatBufferBuilder;

/// Upper bound of the time for which another host may have a part in quarantine.
constexpr duration max_quarantine = std::chrono::minutes(10);

std::string read_string(const flatbuffers::String* text) {
    return text == nullptr ? "" : text->str();
}

/// Converts a wire value. Values above `last` come from a newer version and are read as `last`.
template <typename enumeration>
enumeration read_enumeration(std::uint8_t value, enumeration last) {
    return static_cast<enumeration>(std::min(value, static_cast<std::uint8_t>(last)));
}

engine_work read_work(const wire::work& item, instant now) {
    engine_work result;
    result.key = item.key();
    result.engine = read_string(item.engine());
    result.phase = read_enumeration(item.phase(), work_phase::ended);
    result.prefill_tokens = item.read_tokens();
    result.prefill_time = duration(item.read_us());
    result.memory_tokens = item.memory_tokens();
    result.target_gap = duration(item.gap_us());
    result.dispatched_at = now - duration(item.age_us());
    result.account = item.account();
    result.rank = item.rank();
    result.engine_time = duration(item.engine_time_us());
    return result;
}

/// Reads the identity and addresses of a host, which several tables store in equally named fields.
template <typename table>
host_record read_record(const flatbuffers::String* name, const table& item) {
    host_record result;
    result.host = read_string(name);
    result.data_centre = read_string(item.data_centre());
    result.caller_address = parse_network_address(read_string(item.callers()));
    result.datagram_address = parse_network_address(read_string(item.datagrams()));
    result.query_address = parse_network_address(read_string(item.queries()));
    result.processor_share = item.processor_share();
    result.incarnation = item.incarnation();
    return result;
}

using string_list = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;
using quarantined_list = flatbuffers::Vector<flatbuffers::Offset<wire::quarantined_part>>;

/// Reads each item of a list. An empty list may be absent.
template <typename list, typename reader>
auto read_list(const list* items, const reader& read) {
    std::vector<decltype(read(items->Get(0)))> result;
    for (flatbuffers::uoffset_t i = 0; items != nullptr && i < items->size(); ++i) {
        result.push_back(read(items->Get(i)));
    }
    return result;
}

std::vector<std::string> read_strings(const string_list* texts) {
    return read_list(texts, read_string);
}

std::vector<quarantined_part> read_quarantined(const quarantined_list* parts, instant now) {
    return read_list(parts, [now](const wire::quarantined_part* item) {
        const duration left = std::min(duration(item->left_us()), max_quarantine);
        return quarantined_part{read_string(item->id()), now + left};
    });
}

using rate_limit_list = flatbuffers::Vector<flatbuffers::Offset<wire::rate_limit>>;

std::vector<rate_limit_notice> read_rate_limits(const rate_limit_list* notices, instant now) {
    return read_list(notices, [now](const wire::rate_limit* item) {
        std::optional<double> limit;
        if (item->named() && item->requests_per_s() >= 0.0) {
            limit = item->requests_per_s();
        }
        const duration age = std::max(duration::zero(), duration(item->age_us()));
        return rate_limit_notice{read_string(item->upstream()), limit, now - age};
    });
}

prompt_part_report read_prompt_parts(const wire::announcement& root, instant now) {
    prompt_part_report result;
    result.ends = read_list(root.engine_ends(), [now](const wire::engine_end* item) {
        const duration age = std::max(duration::zero(), duration(item->age_us()));
        return engine_end{{read_string(item->engine()), item->started_at_ms()},
                          item->subject(),
                          read_strings(item->parts()),
                          now - age,
                          item->looked_complete(),
                          duration(item->lasted_us())};
    });
    result.gone_engines = read_list(root.gone_lifetimes(), [](const wire::upstream_lifetime* item) {
        return upstream_lifetime{read_string(item->id()), item->started_at_ms()};
    });
    result.answered = read_strings(root.answered_parts());
    result.quarantined = read_quarantined(root.quarantined_parts(), now);
    return result;
}

announcement read_announcement(const wire::announcement& root, instant now) {
    announcement result;
    result.sender = read_record(root.host(), root);
    const bool no_address =
        result.sender.caller_address.empty() || result.sender.datagram_address.empty();
    if (result.sender.host.empty() || (root.complete() && no_address)) {
        throw operation_error("decode datagram", result.sender.host,
                              "the host or its address is missing");
    }
    result.state = read_enumeration(root.state(), host_state::standby);
    result.requests_per_s = root.requests_per_s();
    result.sequence = root.sequence();
    result.configuration_revision = root.configuration_revision();
    result.complete = root.complete();
    result.forward = root.forward();
    result.works =
        read_list(root.works(), [now](const wire::work* item) { return read_work(*item, now); });
    result.slow_engines = read_list(root.slow(), [](const wire::slow_engine* item) {
        return slow_engine{read_string(item->id()), item->pace()};
    });
    result.prompt_parts = read_prompt_parts(root, now);
    result.rate_limits = read_rate_limits(root.rate_limits(), now);
    return result;
}

upstream_change read_change(const wire::upstream_change& item) {
    upstream_change result;
    result.entry.id = read_string(item.id());
    result.entry.service = read_string(item.service());
    result.entry.address = parse_network_address(read_string(item.address()));
    result.entry.slots = item.slots();
    result.entry.state = read_enumeration(item.state(), upstream_state::draining);
    result.entry.started_at_ms = item.started_at_ms();
    result.entry.data_centre = read_string(item.data_centre());
    result.entry.cold_time = std::chrono::microseconds(item.cold_us());
    // A host of another version may pass on an entry that this one cannot use.
    const bool usable = !result.entry.address.empty() && result.entry.slots > 0;
    result.removed = item.removed() || !usable;
    result.revision = item.revision();
    return result;
}

reported_host read_host(const wire::host& item) {
    reported_host result;
    result.record = read_record(item.name(), item);
    result.state = read_enumeration(item.state(), host_state::standby);
    result.age = duration(std::max<std::int64_t>(0, item.age_us()));
    if (result.record.caller_address.empty() || result.record.datagram_address.empty()) {
        throw operation_error("decode datagram", result.record.host,
                              "a serving host has no address");
    }
    return result;
}

view_reply read_reply(const wire::view_reply& root, instant now) {
    view_reply result;
    result.sender = read_string(root.sender());
    result.nonce = root.nonce();
    result.configuration_revision = root.configuration_revision();
    result.configuration_age = duration(root.configuration_age_us());
    result.catalogue_age = duration(root.catalogue_age_us());
    result.catalogue.complete = root.complete();
    result.catalogue.revision = root.catalogue_revision();
    result.catalogue.changes = read_list(
        root.changes(), [](const wire::upstream_change* item) { return read_change(*item); });
    result.serving_hosts =
        read_list(root.serving(), [](const wire::host* item) { return read_host(*item); });
    result.quarantined_parts = read_quarantined(root.quarantined_parts(), now);
    result.rate_limits = read_rate_limits(root.rate_limits(), now);
    const std::vector<std::string> evacuated = read_strings(root.evacuated());
    result.evacuations = {{evacuated.begin(), evacuated.end()}, root.evacuations_revision()};
    result.evacuations_as_of = root.evacuations_as_of();
    result.invitation = root.invitation();
    result.catalogue_left_out = root.catalogue_left_out();
    return result;
}

view_request read_request(const wire::view_request& root) {
    view_request result;
    result.sender.host = read_string(root.sender());
    result.sender.data_centre = read_string(root.data_centre());
    result.sender.datagram_address = parse_network_address(read_string(root.datagrams()));
    result.sender.processor_share = root.processor_share();
    result.standby = root.standby();
    result.nonce = root.nonce();
    result.catalogue_revision = root.catalogue_revision();
    if (result.sender.host.empty() || result.sender.datagram_address.empty()) {
        throw operation_error("decode datagram", result.sender.host,
                              "the host or its address is missing");
    }
    return result;
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
        finish(wire::message_announcement,
               wire::Createannouncement(
                   builder, host, data_centre, callers, datagrams, queries,
                   message.sender.incarnation, static_cast<std::uint8_t>(message.state),
                   message.sequence, message.configuration_revision, message.complete, work_list,
                   slow_list, message.forward, message.sender.processor_share,
                   message.requests_per_s, ends, answered, quarantined, rate_limits, gone)
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
               wire::Createview_request(builder, sender, message.nonce, message.catalogue_revision,
                                        data_centre, datagrams, message.sender.processor_share,
                                        message.standby)
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
                                record.processor_share, record.incarnation,
                                static_cast<std::uint8_t>(item.state), item.age.count());
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
                static_cast<std::uint8_t>(item.entry.state), item.removed, item.revision,
                item.entry.started_at_ms, data_centre, item.entry.cold_time.count()));
        }
        const auto sender = builder.CreateString(message.sender);
        const auto change_list = builder.CreateVector(changes);
        const auto serving = hosts.empty() ? 0 : builder.CreateVector(hosts);
        const auto quarantined = write_quarantined(message.quarantined_parts);
        const auto rate_limits = write_rate_limits(message.rate_limits);
        const auto& names = message.evacuations.data_centres();
        const auto evacuated = write_strings({names.begin(), names.end()});
        finish(wire::message_view_reply,
               wire::Createview_reply(
                   builder, sender, message.nonce, message.configuration_revision,
                   message.configuration_age.count(), message.catalogue_age.count(),
                   message.catalogue.complete, message.catalogue.revision, change_list, serving,
                   message.invitation, message.catalogue_left_out, quarantined, rate_limits,
                   evacuated, message.evacuations.revision(), message.evacuations_as_of)
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

peer_datagram decode_datagram(std::string_view bytes, instant now) {
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                   bytes.size());
    if (!verifier.VerifyBuffer<wire::datagram>(nullptr)) {
        throw operation_error("decode datagram", "peer", "the bytes are not a valid datagram");
    }
    const auto* root = flatbuffers::GetRoot<wire::datagram>(bytes.data());
    if (const auto* body = root->message_as_announcement()) {
        return read_announcement(*body, now);
    }
    if (const auto* body = root->message_as_view_request()) {
        return read_request(*body);
    }
    if (const auto* body = root->message_as_view_reply()) {
        return read_reply(*body, now);
    }
    throw operation_error("decode datagram", "peer", "unknown message type");
}

}  // namespace fuchsiaquay
