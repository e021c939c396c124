#include "drivers/datagrams/datagram_codec.hpp"

#include <algorithm>
#include <vector>

#include "core/error/operation_error.hpp"
#include "core/freshness/store_revision.hpp"
#include "drivers/datagrams/datagram_generated.h"

namespace fuchsiaquay {

namespace {

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

std::int64_t read_revision(std::int64_t era, std::int64_t number) {
    if (!is_store_revision(era, number)) {
        throw operation_error(
            "decode datagram", "",
            "no revision: era " + std::to_string(era) + ", number " + std::to_string(number));
    }
    return make_store_revision(era, number);
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
    result.incarnation = static_cast<std::uint64_t>(
        read_revision(item.incarnation_era(), static_cast<std::int64_t>(item.incarnation())));
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
    result.configuration_revision =
        read_revision(root.configuration_era(), root.configuration_revision());
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
    result.revision = read_revision(item.era(), item.revision());
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
    result.configuration_revision =
        read_revision(root.configuration_era(), root.configuration_revision());
    result.configuration_age = duration(root.configuration_age_us());
    result.catalogue_age = duration(root.catalogue_age_us());
    result.catalogue.complete = root.complete();
    result.catalogue.revision = read_revision(root.catalogue_era(), root.catalogue_revision());
    result.catalogue.changes = read_list(
        root.changes(), [](const wire::upstream_change* item) { return read_change(*item); });
    result.serving_hosts =
        read_list(root.serving(), [](const wire::host* item) { return read_host(*item); });
    result.quarantined_parts = read_quarantined(root.quarantined_parts(), now);
    result.rate_limits = read_rate_limits(root.rate_limits(), now);
    const std::vector<std::string> evacuated = read_strings(root.evacuated());
    result.evacuations = {{evacuated.begin(), evacuated.end()},
                          read_revision(root.evacuations_era(), root.evacuations_revision())};
    result.evacuations_as_of =
        read_revision(root.evacuations_as_of_era(), root.evacuations_as_of());
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
    result.catalogue_revision = read_revision(root.catalogue_era(), root.catalogue_revision());
    if (result.sender.host.empty() || result.sender.datagram_address.empty()) {
        throw operation_error("decode datagram", result.sender.host,
                              "the host or its address is missing");
    }
    return result;
}

}  // namespace

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
